package org.teaseldeal.ledger.fold;

import java.util.Arrays;

/**
 * Stores the tokens left under each lease, by the row of the service and the writer number of the
 * source.
 *
 * <p>The cells of a service form a linked list that starts at its row; cells with no tokens left
 * are reused. A service has at most one cell for each writer with a lease, so these lists are
 * short.
 */
final class LeaseTable {
  private static final int END = -1;

  private int[] headCells = new int[0];
  private int[] sources = new int[16];
  private long[] tokens = new long[16];
  private int[] nextCells = new int[16];
  private int[] services = new int[16];
  private int usedCells;
  private int firstFreeCell = END;

  long tokens(int service, int source) {
    int cell = find(service, source);
    return cell == END ? 0 : tokens[cell];
  }

  void add(int service, int source, long amount) {
    int cell = find(service, source);
    if (cell != END) {
      tokens[cell] += amount;
    } else if (amount > 0) {
      insert(service, source, amount);
    }
  }

  /** Subtracts tokens from a lease. The caller has checked that the lease holds that many. */
  void take(int service, int source, long amount) {
    int cell = find(service, source);
    if (cell == END || tokens[cell] < amount) {
      throw new IllegalStateException("A lease holds fewer tokens than the caller checked");
    }
    tokens[cell] -= amount;
    if (tokens[cell] == 0) {
      remove(service, cell);
    }
  }

  /** Visits the cells of one service, by source. */
  void forEach(int service, Visitor visitor) {
    int[] cells = cellsOf(service);
    for (int cell : cells) {
      visitor.visit(service, sources[cell], tokens[cell]);
    }
  }

  /** Visits all cells, by service and then source. */
  void forEach(Visitor visitor) {
    for (int service = 0; service < headCells.length; service++) {
      forEach(service, visitor);
    }
  }

  /** Visits the cells of one source, by service. */
  void forEachOfSource(int source, Visitor visitor) {
    int[] found = new int[4];
    int count = 0;
    for (int cell = 0; cell < usedCells; cell++) {
      if (tokens[cell] > 0 && sources[cell] == source) {
        found = Columns.ensureIndex(found, count);
        found[count++] = services[cell];
      }
    }
    Arrays.sort(found, 0, count);
    for (int i = 0; i < count; i++) {
      visitor.visit(found[i], source, tokens(found[i], source));
    }
  }

  private int[] cellsOf(int service) {
    int count = 0;
    int[] cells = new int[4];
    for (int cell = head(service); cell != END; cell = nextCells[cell]) {
      cells = Columns.ensureIndex(cells, count);
      cells[count++] = cell;
    }
    return sortedBySource(Arrays.copyOf(cells, count));
  }

  private int[] sortedBySource(int[] cells) {
    long[] keys = new long[cells.length];
    for (int i = 0; i < cells.length; i++) {
      keys[i] = ((long) sources[cells[i]] << 32) | cells[i];
    }
    Arrays.sort(keys);
    for (int i = 0; i < cells.length; i++) {
      cells[i] = (int) keys[i];
    }
    return cells;
  }

  private int head(int service) {
    return service < headCells.length ? headCells[service] : END;
  }

  private int find(int service, int source) {
    int cell = head(service);
    while (cell != END && sources[cell] != source) {
      cell = nextCells[cell];
    }
    return cell;
  }

  private void insert(int service, int source, long amount) {
    int cell = freeCell();
    ensureHead(service);
    services[cell] = service;
    sources[cell] = source;
    tokens[cell] = amount;
    nextCells[cell] = headCells[service];
    headCells[service] = cell;
  }

  private int freeCell() {
    if (firstFreeCell != END) {
      int cell = firstFreeCell;
      firstFreeCell = nextCells[cell];
      return cell;
    }
    sources = Columns.ensureIndex(sources, usedCells);
    tokens = Columns.ensureIndex(tokens, usedCells);
    nextCells = Columns.ensureIndex(nextCells, usedCells);
    services = Columns.ensureIndex(services, usedCells);
    return usedCells++;
  }

  private void ensureHead(int service) {
    if (service < headCells.length) {
      return;
    }
    int oldLength = headCells.length;
    headCells = Columns.ensureIndex(headCells, service);
    Arrays.fill(headCells, oldLength, headCells.length, END);
  }

  private void remove(int service, int cell) {
    if (headCells[service] == cell) {
      headCells[service] = nextCells[cell];
    } else {
      int previous = headCells[service];
      while (nextCells[previous] != cell) {
        previous = nextCells[previous];
      }
      nextCells[previous] = nextCells[cell];
    }
    nextCells[cell] = firstFreeCell;
    firstFreeCell = cell;
  }

  void write(StateWriter out) {
    int[] count = {0};
    forEach((service, source, amount) -> count[0]++);
    out.number(count[0]);
    forEach((service, source, amount) -> out.number(service).number(source).number(amount));
  }

  static LeaseTable read(StateReader in) {
    LeaseTable table = new LeaseTable();
    int cells = in.count();
    for (int i = 0; i < cells; i++) {
      table.insert((int) in.number(), (int) in.number(), in.number());
    }
    return table;
  }

  /** Receives one cell: a lease with its service row, source number and tokens. */
  interface Visitor {
    void visit(int service, int source, long tokens);
  }
}
