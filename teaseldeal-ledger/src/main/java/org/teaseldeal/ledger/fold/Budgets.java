package org.teaseldeal.ledger.fold;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.teaseldeal.api.IncarnationId;
import org.teaseldeal.api.Preconditions;
import org.teaseldeal.api.ServiceId;
import org.teaseldeal.ledger.AccountId;
import org.teaseldeal.ledger.Draw;
import org.teaseldeal.ledger.entry.Entry;
import org.teaseldeal.ledger.outcome.Outcome;

/**
 * Applies the rules of budgets: grants, leases, charges and write-offs, for a team and its
 * services.
 *
 * <p>A token is in exactly one place: remaining in the budget, under the lease of one source,
 * charged, or written off. When a source ends, the tokens under its leases count as written off but
 * stay recorded under its name, so that instances which still hold such tokens can charge or return
 * them.
 */
final class Budgets {
  /** Limits the tokens of one budget, so that sums of a few budgets can't overflow. */
  private static final long MAX_GRANTED = Long.MAX_VALUE / 8;

  private final WriterTable writers;
  private AccountTable accounts = new AccountTable();
  private LeaseTable leases = new LeaseTable();
  private RecentOperations operations = new RecentOperations();

  Budgets(WriterTable writers) {
    this.writers = writers;
  }

  AccountTable accounts() {
    return accounts;
  }

  LeaseTable leases() {
    return leases;
  }

  Outcome create(Entry.CreateBudget entry, long now) {
    AccountId account = entry.account();
    String operation = entry.operation();
    if (operations.contains(account, operation)) {
      return unchanged(account, operation, Outcome.BudgetUnchanged.ALREADY_APPLIED);
    }
    if (entry.tokens() < 0 || entry.tokens() > MAX_GRANTED) {
      return new Outcome.Rejected(entry, "tokens were %d".formatted(entry.tokens()));
    }
    int existing = accounts.find(account);
    if (existing != AccountTable.NONE && accounts.isCreated(existing)) {
      return unchanged(account, operation, "the budget exists");
    }
    int row = accounts.add(account);
    long reclaimable = reclaimable(row);
    if (accounts.leased(row) + reclaimable > entry.tokens()) {
      return unchanged(
          account,
          operation,
          "%d tokens of the service are leased, more than the budget"
              .formatted(accounts.leased(row) + reclaimable));
    }
    accounts.create(row, entry.tokens(), reclaimable);
    operations.add(account, operation, now);
    return new Outcome.BudgetGranted(account, entry.tokens(), operation);
  }

  /**
   * Returns the tokens that are recorded under ended sources of a service and can still be charged
   * or returned.
   */
  private long reclaimable(int row) {
    long[] sum = {0};
    if (!accounts.isTeam(row) && accounts.writtenOff(row) > 0) {
      leases.forEach(
          row, (service, source, tokens) -> sum[0] += isSourceEnded(source) ? tokens : 0);
    }
    return sum[0];
  }

  Outcome topUp(Entry.TopUp entry, long now) {
    AccountId account = entry.account();
    String operation = entry.operation();
    if (operations.contains(account, operation)) {
      return unchanged(account, operation, Outcome.BudgetUnchanged.ALREADY_APPLIED);
    }
    int row = accounts.find(account);
    if (row == AccountTable.NONE || !accounts.isCreated(row)) {
      return unchanged(account, operation, "there is no such budget");
    }
    if (entry.tokens() <= 0 || entry.tokens() > MAX_GRANTED - accounts.granted(row)) {
      return new Outcome.Rejected(entry, "tokens were %d".formatted(entry.tokens()));
    }
    accounts.topUp(row, entry.tokens());
    operations.add(account, operation, now);
    return new Outcome.BudgetGranted(account, accounts.granted(row), operation);
  }

  private static Outcome unchanged(AccountId account, String operation, String reason) {
    return new Outcome.BudgetUnchanged(account, operation, reason);
  }

  Outcome lease(Entry.RequestLease entry, Writer writer) {
    if (entry.minimum() <= 0 || entry.wanted() < entry.minimum()) {
      return new Outcome.Rejected(
          entry,
          "wanted was %d and minimum %d, expected 0 < minimum <= wanted"
              .formatted(entry.wanted(), entry.minimum()));
    }
    long granted = Math.min(entry.wanted(), spendable(entry.service()));
    if (granted < entry.minimum()) {
      return refuseLease(entry, writer);
    }
    int row = accounts.add(AccountId.of(entry.service()));
    accounts.addAtBothLevels(row, 0, 0, granted);
    leases.add(row, writer.number, granted);
    return new Outcome.LeaseGranted(entry.service(), granted);
  }

  private Outcome refuseLease(Entry.RequestLease entry, Writer writer) {
    int service = accounts.find(entry.service());
    int team = accounts.find(AccountId.of(entry.service().team()));
    if (team == AccountTable.NONE) {
      return new Outcome.LeaseRefused(entry.service(), AccountId.of(entry.service().team()), 0, 0);
    }
    boolean serviceIsBinding =
        service != AccountTable.NONE && accounts.available(service) < accounts.available(team);
    int binding = serviceIsBinding ? service : team;
    long own = service == AccountTable.NONE ? 0 : leases.tokens(service, writer.number);
    return new Outcome.LeaseRefused(
        entry.service(),
        accounts.account(binding),
        accounts.available(binding),
        accounts.leased(binding) - own);
  }

  long spendable(ServiceId service) {
    int team = accounts.find(AccountId.of(service.team()));
    int row = accounts.find(service);
    long teamAvailable = team == AccountTable.NONE ? 0 : accounts.available(team);
    return row == AccountTable.NONE
        ? teamAvailable
        : Math.min(teamAvailable, accounts.available(row));
  }

  Outcome returnTokens(Entry.ReturnLease entry) {
    if (entry.tokens() <= 0) {
      return new Outcome.Rejected(entry, "tokens were %d".formatted(entry.tokens()));
    }
    List<Draw> draws = List.of(new Draw(entry.source(), entry.tokens()));
    if (!isCovered(entry.service(), draws)) {
      return new Outcome.Rejected(entry, "the source holds less than was returned");
    }
    take(entry.service(), draws, 0, 0);
    return new Outcome.LeaseReturned(entry.service(), entry.source(), entry.tokens());
  }

  /** Returns whether the lease of every source covers the tokens that are drawn on it. */
  boolean isCovered(ServiceId service, List<Draw> draws) {
    int row = accounts.find(service);
    Map<IncarnationId, Long> drawn = new LinkedHashMap<>();
    for (Draw draw : draws) {
      long alreadyDrawn = drawn.getOrDefault(draw.source(), 0L);
      if (draw.tokens() > leasedTo(row, draw.source()) - alreadyDrawn) {
        return false;
      }
      drawn.put(draw.source(), alreadyDrawn + draw.tokens());
    }
    return true;
  }

  private long leasedTo(int row, IncarnationId source) {
    if (row == AccountTable.NONE) {
      return 0;
    }
    return writers.find(source).map(writer -> leases.tokens(row, writer.number)).orElse(0L);
  }

  /** Charges draws that the caller has checked with {@link #isCovered}. */
  void charge(ServiceId service, List<Draw> draws) {
    take(service, draws, 1, 0);
  }

  /** Writes off draws that the caller has checked with {@link #isCovered}. */
  void writeOff(ServiceId service, List<Draw> draws) {
    take(service, draws, 0, 1);
  }

  private void take(ServiceId service, List<Draw> draws, int toCharged, int toWrittenOff) {
    int row = accounts.find(service);
    for (Draw draw : draws) {
      Writer source = writers.find(draw.source()).orElseThrow();
      long tokens = draw.tokens();
      leases.take(row, source.number, tokens);
      long leased = source.ended ? 0 : -tokens;
      long writtenOff = source.ended ? -tokens : 0;
      accounts.addAtBothLevels(row, toCharged * tokens, toWrittenOff * tokens + writtenOff, leased);
    }
  }

  /** Ends a source and returns the tokens left under its leases, which now count as written off. */
  long endSource(Writer writer) {
    if (writer.ended) {
      return 0;
    }
    writer.ended = true;
    long[] total = {0};
    leases.forEachOfSource(
        writer.number,
        (service, source, tokens) -> {
          accounts.addAtBothLevels(service, 0, tokens, -tokens);
          total[0] += tokens;
        });
    return total[0];
  }

  boolean isSourceEnded(int source) {
    Writer writer = writers.byNumber(source);
    return writer != null && writer.ended;
  }

  void dropOperationsUntil(long limit) {
    operations.dropUntil(limit);
  }

  /**
   * Recomputes the totals of all rows from the leases and describes the first row that does not
   * match.
   */
  Optional<String> findImbalance() {
    long[] leased = new long[accounts.size()];
    long[] reclaimable = new long[accounts.size()];
    leases.forEach(
        (service, source, tokens) -> {
          long[] sums = isSourceEnded(source) ? reclaimable : leased;
          sums[service] += tokens;
          sums[accounts.teamRow(service)] += tokens;
        });
    for (int row = 0; row < accounts.size(); row++) {
      if (!isBalanced(row, leased[row], reclaimable[row])) {
        return Optional.of(
            "%s: %s, but its leases sum up to %d and those of ended instances to %d"
                .formatted(
                    accounts.account(row), accounts.view(row), leased[row], reclaimable[row]));
      }
    }
    return Optional.empty();
  }

  private boolean isBalanced(int row, long leased, long reclaimable) {
    return accounts.leased(row) == leased
        && accounts.writtenOff(row) >= reclaimable
        && accounts.available(row) >= 0;
  }

  void write(StateWriter out) {
    accounts.write(out);
    leases.write(out);
    operations.write(out);
  }

  static Budgets read(StateReader in, WriterTable writers) {
    Budgets budgets = new Budgets(writers);
    budgets.accounts = AccountTable.read(in);
    budgets.leases = LeaseTable.read(in);
    budgets.operations = RecentOperations.read(in);
    Preconditions.require(
        budgets.findImbalance().isEmpty(), "state had budgets that do not add up");
    return budgets;
  }
}
