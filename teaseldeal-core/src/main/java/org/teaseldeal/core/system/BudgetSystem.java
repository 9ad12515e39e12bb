package org.teaseldeal.core.system;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.teaseldeal.api.ErrorKind;
import org.teaseldeal.api.ServiceId;
import org.teaseldeal.api.TeamId;
import org.teaseldeal.core.Counter;
import org.teaseldeal.core.table.BudgetRow;
import org.teaseldeal.core.table.PeerRow;
import org.teaseldeal.core.table.RequestRow;
import org.teaseldeal.core.table.Stage;
import org.teaseldeal.core.table.TransferRow;
import org.teaseldeal.decisions.LeaseSizing;
import org.teaseldeal.ledger.AccountId;
import org.teaseldeal.ledger.Draw;
import org.teaseldeal.ledger.entry.Entry;
import org.teaseldeal.ledger.lease.LocalLeases;
import org.teaseldeal.ledger.lease.Reservation;
import org.teaseldeal.ledger.outcome.Outcome;
import org.teaseldeal.ledger.state.AccountView;
import org.teaseldeal.ledger.state.LedgerState;
import org.teaseldeal.settings.FleetSettings;
import org.teaseldeal.settings.LeasePolicySettings;

/**
 * Reserves the worst-case token use of each request from the tokens leased here, and obtains more
 * tokens when they run short.
 *
 * <p>The sources of tokens are, in this order, the service's home peer, the ledger, and any other
 * peer. For a service with high demand at this instance, the ledger comes first.
 */
final class BudgetSystem {
  private static final Duration RATE_INTERVAL = Duration.ofSeconds(1);
  private static final double RATE_SMOOTHING_WEIGHT = 0.3;
  private static final Duration BACK_OFF = Duration.ofMillis(500);
  private static final Duration SCARCE_IDLE_RETURN = Duration.ofSeconds(1);
  private static final LeasePolicySettings DEFAULT_POLICY =
      new LeasePolicySettings(Duration.ofSeconds(30), 0.1, 1_000, Duration.ofSeconds(60));

  private final Context context;
  private final LedgerSystem ledger;
  private final SettingsView settings;
  private final RequestCompletion completion;
  private final TransferSystem transfers;
  private final PeerView peers;
  private final Consumer<RequestRow> onReserved;

  BudgetSystem(
      Context context,
      LedgerSystem ledger,
      SettingsView settings,
      RequestCompletion completion,
      TransferSystem transfers,
      PeerView peers,
      Consumer<RequestRow> onReserved) {
    this.context = context;
    this.ledger = ledger;
    this.settings = settings;
    this.completion = completion;
    this.transfers = transfers;
    this.peers = peers;
    this.onReserved = onReserved;
  }

  /** Continues with a request as soon as its worst-case token use is reserved. */
  void reserveOrWait(RequestRow request) {
    if (request.worstCaseTokens == 0 || request.reservation != null) {
      onReserved.accept(request);
      return;
    }
    BudgetRow budget = budget(request.service.id());
    budget.lastUsedAt = context.now();
    request.stage = Stage.WAITING_FOR_TOKENS;
    budget.waiting.add(request);
    // If other requests already wait, this one is handled with them once per tick. Otherwise a
    // burst of requests that wait for tokens would be scanned again for each arriving request.
    if (budget.waiting.size() == 1) {
      obtainTokens(budget);
    }
  }

  /** Handles tokens of {@code service} that arrived or became free. */
  void onTokens(ServiceId service) {
    BudgetRow budget = context.tables.budgets.get(service);
    if (budget != null) {
      obtainTokens(budget);
    }
  }

  /**
   * Serves the waiting requests, obtains tokens for them, refills leases ahead of demand, and
   * returns idle tokens.
   */
  void run() {
    for (BudgetRow budget : List.copyOf(context.tables.budgets.values())) {
      obtainTokens(budget);
      if (updateRate(budget)) {
        refillAhead(budget);
        returnIdle(budget);
      }
    }
  }

  private void obtainTokens(BudgetRow budget) {
    reserveForWaiting(budget);
    if (budget.waiting.isEmpty()) {
      budget.askedPeers.clear();
      budget.leaseRefused = false;
      return;
    }
    long need = smallestNeed(budget);
    if (transferPending(budget) || (backingOff(budget) && !ledgerCovers(budget, need))) {
      return;
    }
    if (leasePending(budget)) {
      if (!context
          .now()
          .isBefore(budget.leaseRequestedAt.plus(context.limits().transferTimeout()))) {
        requestFromAnyPeer(budget, need);
      }
      return;
    }
    if (requestFromHome(budget, need)
        || requestFromLedger(budget, need)
        || requestFromAnyPeer(budget, need)) {
      return;
    }
    refuseUnobtainable(budget);
  }

  private boolean backingOff(BudgetRow budget) {
    return context.now().isBefore(budget.backOffUntil);
  }

  private boolean ledgerCovers(BudgetRow budget, long need) {
    TeamId team = budget.service.team();
    long missing = Math.max(need - ledger.leases(budget.service).free(budget.service), 1);
    return ledger.reachable(team) && ledger.state(team).spendable(budget.service) >= missing;
  }

  private void reserveForWaiting(BudgetRow budget) {
    LocalLeases leases = ledger.leases(budget.service);
    for (RequestRow request : List.copyOf(budget.waiting)) {
      Optional<Reservation> reserved = leases.reserve(budget.service, request.worstCaseTokens);
      if (reserved.isPresent()) {
        budget.waiting.remove(request);
        request.reservation = reserved.get();
        onReserved.accept(request);
      }
    }
  }

  private boolean transferPending(BudgetRow budget) {
    TransferRow transfer = budget.pendingTransfer;
    if (transfer != null) {
      boolean late =
          !context.now().isBefore(transfer.requestedAt.plus(context.limits().transferTimeout()));
      if (!late) {
        return true;
      }
      budget.pendingTransfer = null;
    }
    return false;
  }

  private boolean leasePending(BudgetRow budget) {
    return budget.leaseRequested && ledger.reachable(budget.service.team());
  }

  private boolean requestFromHome(BudgetRow budget, long need) {
    if (demandIsHigh(budget)) {
      return false;
    }
    return peers
        .homePeer(budget.service)
        .filter(home -> budget.askedPeers.add(home.incarnation))
        .map(home -> requestFromPeer(budget, home, need))
        .orElse(false);
  }

  private boolean requestFromAnyPeer(BudgetRow budget, long need) {
    for (PeerRow peer : peers.byRendezvousWeight(budget.service)) {
      if (budget.askedPeers.add(peer.incarnation)) {
        return requestFromPeer(budget, peer, need);
      }
    }
    return false;
  }

  private boolean requestFromPeer(BudgetRow budget, PeerRow peer, long need) {
    long idle = ledger.leases(budget.service).free(budget.service);
    long minimumTokens = Math.max(need - idle, 1);
    long requestedTokens =
        Math.max(
            minimumTokens,
            sizing().tokensToRequest(budget.tokensPerSecond, need, idle, Long.MAX_VALUE / 2));
    budget.pendingTransfer =
        transfers.request(peer, budget.service, requestedTokens, minimumTokens);
    return true;
  }

  private boolean requestFromLedger(BudgetRow budget, long need) {
    if (budget.leaseRequested || budget.leaseRefused || !ledgerCovers(budget, need)) {
      return false;
    }
    long idle = ledger.leases(budget.service).free(budget.service);
    requestLease(budget, need, Math.max(need - idle, 1));
    return true;
  }

  /**
   * Requests a lease from which a peer will draw tokens, if this instance is the home of the
   * service. Returns whether a lease request is pending.
   */
  boolean leaseForPeer(ServiceId service, long need) {
    if (context.draining || ledger.retired() || peers.homePeer(service).isPresent()) {
      return false;
    }
    BudgetRow budget = budget(service);
    budget.lastUsedAt = context.now();
    return budget.leaseRequested || requestFromLedger(budget, need);
  }

  private void requestLease(BudgetRow budget, long need, long minimumTokens) {
    TeamId team = budget.service.team();
    long idle = ledger.leases(budget.service).free(budget.service);
    long remaining = ledger.state(team).spendable(budget.service);
    long waiting = Math.max(need, Math.min(waitingNeed(budget), remaining));
    long requestedTokens =
        Math.max(
            minimumTokens,
            sizing().tokensToRequest(budget.tokensPerSecond, waiting, idle, remaining));
    budget.leaseRequested = true;
    budget.leaseRequestedAt = context.now();
    context.count(Counter.LEASE_REQUESTS);
    ledger.submitUrgent(
        team,
        new Entry.RequestLease(budget.service, requestedTokens, minimumTokens),
        outcome -> onLeaseOutcome(budget, outcome));
  }

  private void onLeaseOutcome(BudgetRow budget, Outcome outcome) {
    budget.leaseRequested = false;
    budget.leaseRefused = true;
    if (outcome instanceof Outcome.LeaseGranted granted) {
      budget.leaseRefused = false;
      Draw lease = new Draw(context.self(), granted.tokens());
      ledger.leases(budget.service).credit(budget.service, List.of(lease));
    }
    obtainTokens(budget);
    transfers.onLease(budget.service);
  }

  /**
   * Refuses the waiting requests that can't be served. A request is refused for an exhausted budget
   * only if the ledger shows that all remaining tokens, including those leased anywhere, don't
   * cover it.
   */
  private void refuseUnobtainable(BudgetRow budget) {
    long reserved = ledger.leases(budget.service).reserved(budget.service);
    for (RequestRow request : List.copyOf(budget.waiting)) {
      Optional<AccountId> exhausted = exhaustedAccount(budget.service, request.worstCaseTokens);
      if (exhausted.isPresent()) {
        completion.fail(
            request,
            ErrorKind.BUDGET_EXHAUSTED,
            "%s has fewer than the %d tokens that the request may take"
                .formatted(exhausted.get(), request.worstCaseTokens));
      } else if (reserved < request.worstCaseTokens && !tokensMayArrive(request)) {
        completion.fail(
            request,
            ErrorKind.NO_LEASE,
            "no %d tokens of %s are at hand".formatted(request.worstCaseTokens, budget.service),
            context.limits().retryAfter());
      }
    }
    budget.askedPeers.clear();
    budget.leaseRefused = false;
    budget.backOffUntil = budget.waiting.isEmpty() ? Instant.MIN : context.now().plus(BACK_OFF);
  }

  /**
   * Returns whether tokens may still arrive for a request, because peers return or settle the
   * tokens that the ledger shows as leased. The request waits for at most half of its caller's
   * timeout, so that the caller has time to try elsewhere.
   */
  private boolean tokensMayArrive(RequestRow request) {
    Duration callerTimeout = Duration.between(request.arrivedAt, request.deadline);
    return ledger.reachable(request.service.id().team())
        && !peers.live().isEmpty()
        && context.now().isBefore(request.arrivedAt.plus(callerTimeout.dividedBy(2)));
  }

  private Optional<AccountId> exhaustedAccount(ServiceId service, long need) {
    LedgerState state = ledger.state(service.team());
    AccountId team = AccountId.of(service.team());
    Optional<AccountView> teamBudget = state.account(team);
    if (teamBudget.isEmpty() || unspent(teamBudget.get()) < need) {
      return Optional.of(team);
    }
    AccountId serviceAccount = AccountId.of(service);
    return state
        .account(serviceAccount)
        .filter(view -> unspent(view) < need)
        .map(view -> serviceAccount);
  }

  private static long unspent(AccountView account) {
    return account.remaining() + account.leased();
  }

  private void refillAhead(BudgetRow budget) {
    TeamId team = budget.service.team();
    if (budget.leaseRequested
        || context.draining
        || !ledger.reachable(team)
        || !demandIsHigh(budget)) {
      return;
    }
    long idle = ledger.leases(budget.service).free(budget.service);
    double refillThreshold = budget.tokensPerSecond * policy().horizon().toMillis() / 2000.0;
    if (idle >= refillThreshold
        || ledger.state(team).spendable(budget.service) < policy().minimumTokens()) {
      return;
    }
    requestLease(budget, 0, 1);
  }

  private boolean demandIsHigh(BudgetRow budget) {
    double demand = budget.tokensPerSecond * policy().horizon().toMillis() / 1000.0;
    return demand >= 2.0 * policy().minimumTokens();
  }

  private void returnIdle(BudgetRow budget) {
    Duration unused = isScarce(budget) ? SCARCE_IDLE_RETURN : policy().idleReturn();
    if (budget.waiting.isEmpty() && !context.now().isBefore(budget.lastUsedAt.plus(unused))) {
      returnAll(budget.service);
    }
  }

  /**
   * Returns whether the ledger can no longer grant a lease of the minimum size.
   *
   * <p>At that point the rest of a budget is scattered over instances and services. Each of them
   * has fewer tokens than a request needs, and callers are refused although there are enough tokens
   * in total. Tokens returned to the ledger are available to any instance, at the cost of one log
   * entry per use.
   */
  private boolean isScarce(BudgetRow budget) {
    TeamId team = budget.service.team();
    return ledger.reachable(team)
        && ledger.state(team).spendable(budget.service) < policy().minimumTokens();
  }

  /** Returns all idle tokens of {@code service} to the budget. */
  void returnAll(ServiceId service) {
    LocalLeases leases = ledger.leases(service);
    long idle = leases.free(service);
    if (idle == 0) {
      return;
    }
    for (Draw draw : leases.take(service, idle)) {
      ledger.submit(service.team(), new Entry.ReturnLease(service, draw.source(), draw.tokens()));
    }
  }

  private boolean updateRate(BudgetRow budget) {
    Duration since = Duration.between(budget.rateUpdatedAt, context.now());
    if (since.compareTo(RATE_INTERVAL) < 0) {
      return false;
    }
    double rate = budget.spentSinceRateUpdate * 1000.0 / since.toMillis();
    budget.tokensPerSecond += RATE_SMOOTHING_WEIGHT * (rate - budget.tokensPerSecond);
    budget.spentSinceRateUpdate = 0;
    budget.rateUpdatedAt = context.now();
    return true;
  }

  /**
   * Returns the worst-case token use of all waiting requests. They reserve the tokens as soon as
   * the lease is granted, so a lease of this size leaves none idle.
   */
  private static long waitingNeed(BudgetRow budget) {
    return budget.waiting.stream().mapToLong(r -> r.worstCaseTokens).sum();
  }

  private static long smallestNeed(BudgetRow budget) {
    return budget.waiting.stream().mapToLong(r -> r.worstCaseTokens).min().orElse(0);
  }

  private BudgetRow budget(ServiceId service) {
    return context.tables.budgets.computeIfAbsent(service, id -> new BudgetRow(id, context.now()));
  }

  private LeasePolicySettings policy() {
    return settings.fleet().map(FleetSettings::lease).orElse(DEFAULT_POLICY);
  }

  private LeaseSizing sizing() {
    LeasePolicySettings policy = policy();
    return new LeaseSizing(policy.horizon(), policy.maxShare(), policy.minimumTokens());
  }
}
