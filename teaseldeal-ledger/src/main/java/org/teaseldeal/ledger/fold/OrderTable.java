package org.teaseldeal.ledger.fold;

import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import org.teaseldeal.api.IncarnationId;
import org.teaseldeal.ledger.entry.Entry;
import org.teaseldeal.ledger.outcome.Outcome;
import org.teaseldeal.ledger.state.OrderTerm;

/**
 * Holds the current order term of each pool: the incarnation that may order the pool's engines, and
 * its fencing token.
 */
final class OrderTable {
  private final TreeMap<String, OrderTerm> terms = new TreeMap<>();

  Outcome take(Entry.TakeOrders entry, IncarnationId writer, long term) {
    OrderTerm current = terms.get(entry.pool());
    if (current == null && entry.previousTerm() != 0) {
      return new Outcome.Rejected(entry, "the pool has no order term yet");
    }
    if (current != null && current.term() != entry.previousTerm()) {
      return new Outcome.OrdersRefused(entry.pool(), current.term(), current.holder());
    }
    terms.put(entry.pool(), new OrderTerm(entry.pool(), term, writer));
    return new Outcome.OrdersTaken(entry.pool(), term);
  }

  Optional<OrderTerm> find(String pool) {
    return Optional.ofNullable(terms.get(pool));
  }

  List<OrderTerm> all() {
    return List.copyOf(terms.values());
  }

  void write(StateWriter out) {
    out.number(terms.size());
    for (OrderTerm term : terms.values()) {
      out.text(term.pool()).number(term.term()).text(term.holder().value());
    }
  }

  static OrderTable read(StateReader in) {
    OrderTable table = new OrderTable();
    int count = in.count();
    for (int i = 0; i < count; i++) {
      OrderTerm term = new OrderTerm(in.text(), in.number(), new IncarnationId(in.text()));
      table.terms.put(term.pool(), term);
    }
    return table;
  }
}
