package org.teaseldeal.ledger.fold;

import java.util.Arrays;
import java.util.Optional;
import org.teaseldeal.api.ServiceId;
import org.teaseldeal.ledger.AccountId;
import org.teaseldeal.ledger.state.AccountView;

/**
 * Stores budgets in columns: four token counts and the row of the team for each budget.
 *
 * <p>A row can also stand for a team or service without a budget of its own. A service that only
 * its team's budget limits needs such a row for its leases.
 */
final class AccountTable {
  static final int NONE = NameTable.NONE;
  private static final long NOT_CREATED = -1;

  private final NameTable names = new NameTable();
  private long[] granted = new long[16];
  private long[] charged = new long[16];
  private long[] writtenOff = new long[16];
  private long[] leased = new long[16];
  private int[] teamRow = new int[16];

  int size() {
    return names.size();
  }

  int find(AccountId account) {
    return names.find(account.toString());
  }

  int find(ServiceId service) {
    return names.find(service.toString());
  }

  int add(AccountId account) {
    int existing = find(account);
    if (existing != NONE) {
      return existing;
    }
    int team = account.service().isPresent() ? add(AccountId.of(account.team())) : names.size();
    return append(account.toString(), team);
  }

  private int append(String name, int team) {
    int row = names.add(name);
    granted = Columns.ensureIndex(granted, row);
    charged = Columns.ensureIndex(charged, row);
    writtenOff = Columns.ensureIndex(writtenOff, row);
    leased = Columns.ensureIndex(leased, row);
    teamRow = Columns.ensureIndex(teamRow, row);
    granted[row] = NOT_CREATED;
    teamRow[row] = team;
    return row;
  }

  AccountId account(int row) {
    return AccountId.parse(names.name(row));
  }

  ServiceId service(int row) {
    return ServiceId.parse(names.name(row));
  }

  int teamRow(int row) {
    return teamRow[row];
  }

  boolean isTeam(int row) {
    return teamRow[row] == row;
  }

  boolean isCreated(int row) {
    return granted[row] != NOT_CREATED;
  }

  long granted(int row) {
    return granted[row];
  }

  long writtenOff(int row) {
    return writtenOff[row];
  }

  long leased(int row) {
    return leased[row];
  }

  /**
   * Returns the tokens that can be leased: none for a team without a budget, and no limit for a
   * service without one.
   */
  long available(int row) {
    if (isCreated(row)) {
      return granted[row] - charged[row] - writtenOff[row] - leased[row];
    }
    return isTeam(row) ? 0 : Long.MAX_VALUE;
  }

  void create(int row, long tokens, long alreadyWrittenOff) {
    granted[row] = tokens;
    charged[row] = 0;
    writtenOff[row] = alreadyWrittenOff;
  }

  void topUp(int row, long tokens) {
    granted[row] += tokens;
  }

  /** Adds to the counts of the service in {@code row} and to those of its team. */
  void addAtBothLevels(int row, long chargedChange, long writtenOffChange, long leasedChange) {
    add(row, chargedChange, writtenOffChange, leasedChange);
    add(teamRow[row], chargedChange, writtenOffChange, leasedChange);
  }

  private void add(int row, long chargedChange, long writtenOffChange, long leasedChange) {
    charged[row] += chargedChange;
    writtenOff[row] += writtenOffChange;
    leased[row] += leasedChange;
  }

  Optional<AccountView> view(int row) {
    if (row == NONE || !isCreated(row)) {
      return Optional.empty();
    }
    return Optional.of(
        new AccountView(account(row), granted[row], charged[row], writtenOff[row], leased[row]));
  }

  void write(StateWriter out) {
    out.number(size());
    for (int row = 0; row < size(); row++) {
      out.text(names.name(row)).number(teamRow[row]).number(granted[row]);
      out.number(charged[row]).number(writtenOff[row]).number(leased[row]);
    }
  }

  static AccountTable read(StateReader in) {
    AccountTable table = new AccountTable();
    int rows = in.count();
    table.reserve(rows);
    for (int row = 0; row < rows; row++) {
      table.append(in.text(), (int) in.number());
      table.granted[row] = in.number();
      table.charged[row] = in.number();
      table.writtenOff[row] = in.number();
      table.leased[row] = in.number();
    }
    return table;
  }

  private void reserve(int rows) {
    int length = Math.max(rows, granted.length);
    granted = Arrays.copyOf(granted, length);
    charged = Arrays.copyOf(charged, length);
    writtenOff = Arrays.copyOf(writtenOff, length);
    leased = Arrays.copyOf(leased, length);
    teamRow = Arrays.copyOf(teamRow, length);
  }
}
