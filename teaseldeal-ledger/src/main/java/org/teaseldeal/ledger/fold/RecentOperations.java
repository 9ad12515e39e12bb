package org.teaseldeal.ledger.fold;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.teaseldeal.ledger.AccountId;

/**
 * Remembers the ids of operations applied to budgets, in order, until they are too old, so that a
 * repeated operation counts once.
 */
final class RecentOperations {
  private final LinkedHashMap<String, Long> timeByOperation = new LinkedHashMap<>();

  boolean contains(AccountId account, String operation) {
    return timeByOperation.containsKey(key(account, operation));
  }

  void add(AccountId account, String operation, long time) {
    timeByOperation.put(key(account, operation), time);
  }

  void dropUntil(long limit) {
    Iterator<Long> times = timeByOperation.values().iterator();
    while (times.hasNext() && times.next() <= limit) {
      times.remove();
    }
  }

  private static String key(AccountId account, String operation) {
    return account + " " + operation;
  }

  void write(StateWriter out) {
    out.number(timeByOperation.size());
    for (Map.Entry<String, Long> operation : timeByOperation.entrySet()) {
      out.text(operation.getKey()).number(operation.getValue());
    }
  }

  static RecentOperations read(StateReader in) {
    RecentOperations operations = new RecentOperations();
    int count = in.count();
    for (int i = 0; i < count; i++) {
      operations.timeByOperation.put(in.text(), in.number());
    }
    return operations;
  }
}
