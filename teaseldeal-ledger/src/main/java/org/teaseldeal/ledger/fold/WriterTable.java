package org.teaseldeal.ledger.fold;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.teaseldeal.api.IncarnationId;

/** Holds all known incarnations, by id and by a number under which other tables refer to them. */
final class WriterTable {
  private final Map<IncarnationId, Writer> byIncarnation = new HashMap<>();
  private final TreeMap<Integer, Writer> byNumber = new TreeMap<>();
  private int nextNumber;

  Optional<Writer> find(IncarnationId incarnation) {
    return Optional.ofNullable(byIncarnation.get(incarnation));
  }

  @Nullable Writer byNumber(int number) {
    return byNumber.get(number);
  }

  Writer add(IncarnationId incarnation) {
    Writer existing = byIncarnation.get(incarnation);
    if (existing != null) {
      return existing;
    }
    Writer writer = new Writer(nextNumber++, incarnation);
    put(writer);
    return writer;
  }

  /** Returns all writers, in the order in which they first appeared on the log. */
  Collection<Writer> all() {
    return byNumber.values();
  }

  void removeIf(Predicate<Writer> condition) {
    byNumber.values().removeIf(condition);
    byIncarnation.values().removeIf(writer -> !byNumber.containsKey(writer.number));
  }

  private void put(Writer writer) {
    byIncarnation.put(writer.incarnation, writer);
    byNumber.put(writer.number, writer);
  }

  void write(StateWriter out) {
    out.number(nextNumber).number(byNumber.size());
    byNumber.values().forEach(writer -> writer.write(out));
  }

  static WriterTable read(StateReader in) {
    WriterTable table = new WriterTable();
    table.nextNumber = (int) in.number();
    int writers = in.count();
    for (int i = 0; i < writers; i++) {
      table.put(Writer.read(in));
    }
    return table;
  }
}
