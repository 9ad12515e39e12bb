package org.teaseldeal.core.system;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.teaseldeal.api.RequestId;
import org.teaseldeal.api.TeamId;
import org.teaseldeal.api.Usage;
import org.teaseldeal.core.Counter;
import org.teaseldeal.core.command.InstanceCommand;
import org.teaseldeal.core.event.InstanceEvent;
import org.teaseldeal.core.part.AbandonedRunRule;
import org.teaseldeal.core.table.AttemptRow;
import org.teaseldeal.core.table.BudgetRow;
import org.teaseldeal.core.table.ChargeRow;
import org.teaseldeal.core.table.RequestRow;
import org.teaseldeal.core.table.Stage;
import org.teaseldeal.ledger.ChargeId;
import org.teaseldeal.ledger.Draw;
import org.teaseldeal.ledger.entry.Entry;
import org.teaseldeal.ledger.lease.Reservation;
import org.teaseldeal.ledger.outcome.Outcome;

/**
 * Records the token use of attempts as charges and write-offs, each with an id that the ledger
 * counts once.
 *
 * <p>The final byte of an answer waits until its charge was read back from the log or is stored by
 * a peer, so that a crash after the answer loses no charge. After a short timeout the caller
 * receives its answer in any case.
 */
final class SettlementSystem {
  private static final String ABANDONED_REASON = "abandoned attempt";
  private static final String REPEATED_REASON = "second run of a keyed request";
  private static final String USAGE_UNKNOWN_REASON =
      "usage of an abandoned attempt never became known";

  private final Context context;
  private final LedgerSystem ledger;
  private final RequestCompletion completion;
  private final Consumer<RequestRow> storeAnswer;
  private final AbandonedRunRule abandonedRunRule;

  SettlementSystem(
      Context context,
      LedgerSystem ledger,
      RequestCompletion completion,
      Consumer<RequestRow> storeAnswer,
      AbandonedRunRule abandonedRunRule) {
    this.context = context;
    this.ledger = ledger;
    this.completion = completion;
    this.storeAnswer = storeAnswer;
    this.abandonedRunRule = abandonedRunRule;
  }

  /**
   * Charges a complete answer. The caller receives the end of the answer once the charge is safe.
   */
  void settleAnswer(AttemptRow attempt, Usage usage) {
    RequestRow request = attempt.request;
    request.attempt = null;
    request.mayHaveRun = true;
    request.usage = usage;
    request.stage = Stage.SETTLING;
    request.charge = charge(attempt, usage.total(), request);
    storeAnswer.accept(request);
    if (request.charge == null) {
      completion.answer(request);
    }
  }

  /**
   * Takes over the reserved tokens of an abandoned run. The tokens of a model call stay reserved
   * until its usage is known.
   *
   * @param chargeCaller whether the caller closed its connection itself and therefore pays for the
   *     known usage
   */
  void abandon(AttemptRow attempt, boolean chargeCaller) {
    attempt.chargeCaller = chargeCaller;
    if (!attempt.request.isModel()) {
      writeOffAll(attempt);
      return;
    }
    if (!abandonedRunRule.keepReservation()) {
      writeOff(attempt, 0, ABANDONED_REASON);
      return;
    }
    attempt.abandonedAt = context.now();
    context.tables.abandonedAttempts.put(attempt.id.number(), attempt);
  }

  void onUsage(InstanceEvent.UsageReported event) {
    AttemptRow attempt = context.tables.abandonedAttempts.get(event.attempt().number());
    if (attempt == null || !attempt.id.equals(event.attempt())) {
      context.count(Counter.DROPPED_ATTEMPT_EVENTS);
      return;
    }
    context.tables.abandonedAttempts.remove(attempt.id.number());
    Optional<Usage> usage = event.usage();
    if (usage.isEmpty()) {
      // The engine may have run the request and lost its record of it in a restart.
      writeOffAll(attempt);
    } else if (attempt.chargeCaller) {
      charge(attempt, usage.get().total(), null);
    } else {
      writeOff(attempt, usage.get().total(), ABANDONED_REASON);
    }
  }

  /**
   * Writes off the whole reservation without charging a customer. The tokens count as spent,
   * because the run may have used them.
   */
  private void writeOffAll(AttemptRow attempt) {
    writeOff(attempt, attempt.request.worstCaseTokens, USAGE_UNKNOWN_REASON);
  }

  /**
   * Repeats the queries for usage, and writes off the reservations whose usage did not become known
   * in time.
   */
  void run() {
    Instant now = context.now();
    for (AttemptRow attempt : List.copyOf(context.tables.abandonedAttempts.values())) {
      Instant since = attempt.abandonedAt;
      if (since != null && !now.isBefore(since.plus(context.limits().usageQueryTimeout()))) {
        context.tables.abandonedAttempts.remove(attempt.id.number());
        writeOffAll(attempt);
      } else if (isDue(attempt.usageQueriedAt, context.limits().usageQueryInterval(), now)) {
        attempt.usageQueriedAt = now;
        context.emit(
            new InstanceCommand.QueryUsage(attempt.id, attempt.request.id, attempt.server.address));
      }
    }
    answerOverdue(now);
  }

  private static boolean isDue(Instant last, Duration interval, Instant now) {
    return last.equals(Instant.MIN) || !now.isBefore(last.plus(interval));
  }

  private void answerOverdue(Instant now) {
    Instant oldestAllowed = now.minus(context.limits().confirmationTimeout());
    while (!context.tables.unconfirmedCharges.isEmpty()
        && !context
            .tables
            .unconfirmedCharges
            .firstEntry()
            .getValue()
            .createdAt
            .isAfter(oldestAllowed)) {
      context.count(Counter.CHARGES_UNCONFIRMED);
      onChargeSafe(context.tables.unconfirmedCharges.firstEntry().getValue());
    }
  }

  /** Handles a charge that is safe: it was read back from the log, or a peer stores it. */
  void onChargeSafe(ChargeRow row) {
    context.tables.unconfirmedCharges.remove(row.number);
    if (row.request != null && row.request.stage == Stage.SETTLING) {
      completion.answer(row.request);
    }
  }

  private @Nullable ChargeRow charge(
      AttemptRow attempt, long tokens, @Nullable RequestRow waiting) {
    RequestRow request = attempt.request;
    List<Draw> draws = settleReservation(attempt, tokens);
    if (draws.isEmpty()) {
      return null;
    }
    context.count(Counter.CHARGES);
    context.counters.add(Counter.CHARGED_TOKENS, totalTokens(draws));
    ChargeId id = new ChargeId(context.self(), ledger.nextCharge(request.service.id().team()));
    RequestId requestId = request.id;
    Entry.Charge entry =
        new Entry.Charge(
            id, requestId, request.keyed, request.service.id(), request.customer.id(), draws);
    return submit(id, entry, request, waiting);
  }

  private void writeOff(AttemptRow attempt, long tokens, String reason) {
    List<Draw> draws = settleReservation(attempt, tokens);
    if (!draws.isEmpty()) {
      writeOff(attempt.request, draws, reason);
    }
  }

  private void writeOff(RequestRow request, List<Draw> draws, String reason) {
    context.counters.add(Counter.WRITTEN_OFF_TOKENS, totalTokens(draws));
    ChargeId id = new ChargeId(context.self(), ledger.nextCharge(request.service.id().team()));
    submit(id, new Entry.WriteOff(id, request.service.id(), draws, reason), request, null);
  }

  private List<Draw> settleReservation(AttemptRow attempt, long tokens) {
    Reservation reservation = attempt.reservation;
    if (reservation == null) {
      return List.of();
    }
    RequestRow request = attempt.request;
    if (tokens > reservation.tokens()) {
      context.count(Counter.USAGE_OVER_RESERVATION);
    }
    BudgetRow budget = context.tables.budgets.get(request.service.id());
    if (budget != null) {
      budget.spentSinceRateUpdate += tokens;
      budget.lastUsedAt = context.now();
    }
    return ledger.leases(request.service.id()).settle(reservation, tokens);
  }

  private ChargeRow submit(
      ChargeId id, Entry entry, RequestRow request, @Nullable RequestRow waiting) {
    ChargeRow row = new ChargeRow(context.nextCharge(), id, entry, waiting, context.now());
    context.tables.charges.put(row.number, row);
    context.tables.unofferedCharges.put(row.number, row);
    if (waiting != null) {
      context.tables.unconfirmedCharges.put(row.number, row);
    }
    TeamId team = request.service.id().team();
    ledger.submit(team, entry, outcome -> onOutcome(row, request, outcome));
    return row;
  }

  private void onOutcome(ChargeRow row, RequestRow request, Outcome outcome) {
    if (ledger.retired()) {
      // The ledger ignores further entries of this incarnation. A peer that stores the charge
      // appends it.
      return;
    }
    context.tables.charges.remove(row.number);
    context.tables.unofferedCharges.remove(row.number);
    context.tables.unacknowledgedCharges.remove(row.number);
    onChargeSafe(row);
    if (outcome instanceof Outcome.ChargeRepeated repeated
        && !repeated.first().equals(row.id)
        && row.entry instanceof Entry.Charge charge) {
      // The keyed request was already charged under another id. Its two runs may have taken place
      // at two engines, so the tokens of this run are counted as spent. If they became available
      // again, they could be used twice. If an engine joined both calls to one run, this costs the
      // budget the tokens of one answer, which is rare and safe.
      context.count(Counter.CHARGE_REPEATS);
      writeOff(request, charge.draws(), REPEATED_REASON);
    }
  }

  private static long totalTokens(List<Draw> draws) {
    return draws.stream().mapToLong(Draw::tokens).sum();
  }
}
