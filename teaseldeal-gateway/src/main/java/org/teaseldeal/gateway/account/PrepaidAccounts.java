package org.teaseldeal.gateway.account;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.teaseldeal.api.Problem;
import org.teaseldeal.gateway.event.EventSink;
import org.teaseldeal.gateway.event.GatewayEvent;
import org.teaseldeal.gateway.log.LogParticipant;
import org.teaseldeal.gateway.log.SharedNote;

/**
 * Divides each customer's prepaid total among the instances, and this instance's part among its
 * requests.
 *
 * <p>Each instance keeps one note per customer on the shared log. The note says how many tokens the
 * instance has spent, how many it holds, and how many more it claims. Each instance decides on its
 * own whether its claim is granted, at the moment when it reads its own note back: the claim is
 * granted if the notes of all instances up to that position, including this claim, stay within the
 * total. The claims of other instances count as theirs until they write their next note. Therefore
 * no decision depends on a guess about the decision of another instance, and the sum stays within
 * the total even if messages are lost or late and processes are paused or killed. Only the newest
 * note of each instance matters, so a log that keeps only the newest record of each key is
 * sufficient.
 *
 * <p>A process takes over the note of the previous process on the same machine. It reclaims the
 * tokens that the previous process can't have used since the note, if the machine's clocks prove
 * how long ago the note was written; the remaining tokens are lost to the customer, because they
 * may have been spent. Tokens of other instances are never freed by a timeout, since a silent
 * instance may only be paused.
 */
public final class PrepaidAccounts implements LogParticipant {
  /**
   * Interval between notes that only refill a lease or return idle tokens. A note for a request
   * that waits is written immediately.
   */
  private static final Duration REFILL_INTERVAL = Duration.ofMillis(100);

  /** Interval between checks while no request waits. */
  private static final Duration IDLE_INTERVAL = Duration.ofMillis(100);

  private static final Duration RATE_INTERVAL = Duration.ofSeconds(1);
  private static final Duration REPORT_INTERVAL = Duration.ofSeconds(5);

  private static final Logger LOG = LoggerFactory.getLogger(PrepaidAccounts.class);

  private final String instance;
  private final Function<String, OptionalLong> prepaidTotal;
  private final TokenHolders holders;
  private final EventSink events;
  private final InstantSource clock;
  private final Supplier<ClockReading> machineClock;
  private final Supplier<Optional<HeartbeatCount>> heartbeats;
  private final ClockReading clocksAtStart;
  private final LogAvailability logAvailability;
  private final RefusalPolicy refusalPolicy;

  /** The accounts by what stands for their customers in the keys of notes. */
  private final Map<String, CustomerAccount> accounts = new TreeMap<>();

  /** Customers whose notes can't be composed, each of which is logged once. */
  private final Set<String> customersOutOfRange = new HashSet<>();

  private ClockReading lastReading;
  private boolean logRequired;
  private final WallClockSteps wallClockSteps = new WallClockSteps();
  private boolean recovered;
  private boolean closing;
  private Runnable waitingListener = () -> {};
  private Instant nextRefill = Instant.MIN;
  private Instant nextRate = Instant.MIN;
  private Instant nextReport = Instant.MIN;

  /**
   * Creates the accounts of {@code instance}.
   *
   * @param prepaidTotal returns a customer's current total; empty for a customer without a limit
   * @param holders determines the holders of each customer's total
   * @param clocksAtStart the machine's clocks at the start of this process
   * @param machineClock reads the machine's clocks
   * @param heartbeats returns the number of heartbeats received from backend servers so far; empty
   *     as long as no server is known
   */
  public PrepaidAccounts(
      String instance,
      Function<String, OptionalLong> prepaidTotal,
      TokenHolders holders,
      EventSink events,
      InstantSource clock,
      ClockReading clocksAtStart,
      Supplier<ClockReading> machineClock,
      Supplier<Optional<HeartbeatCount>> heartbeats) {
    this.instance = instance;
    this.prepaidTotal = prepaidTotal;
    this.holders = holders;
    this.events = events;
    this.clock = clock;
    this.machineClock = machineClock;
    this.heartbeats = heartbeats;
    this.clocksAtStart = clocksAtStart;
    this.logAvailability = new LogAvailability(clock.instant());
    this.refusalPolicy = new RefusalPolicy(logAvailability);
    this.lastReading = machineClock.get();
  }

  /**
   * Reserves {@code tokens} of a customer's total, immediately or as soon as they have been
   * granted.
   *
   * <p>A request for more than the whole total is refused immediately and doesn't count as demand:
   * the size of leases and the release of idle tokens would follow a number that only its sender
   * bounds.
   *
   * @param callerTimeout when the caller stops waiting for the answer to begin
   * @param deadline when the answer is of no use any more
   */
  public void reserve(
      String customer,
      long tokens,
      Instant callerTimeout,
      Instant deadline,
      ReservationListener listener) {
    OptionalLong total = prepaidTotal.apply(customer);
    if (total.isEmpty()) {
      listener.onReserved(Reservation.NONE);
      return;
    }
    WaitingRequest request =
        new WaitingRequest(tokens, clock.instant(), callerTimeout, deadline, listener);
    if (tokens > total.getAsLong()) {
      listener.onRefused(RefusalPolicy.exhausted(tokens, total.getAsLong()));
      return;
    }
    CustomerAccount account = account(customer);
    account.demand().add(tokens);
    // A waiting request that needs more tokens than are available must not block requests that need
    // fewer.
    if (logAvailability.loaded() && account.take(request, total.getAsLong(), clock.instant())) {
      return;
    }
    account.waiting().add(request);
    refuseUnservable(account, total.getAsLong());
    waitingListener.run();
  }

  /** Returns whether the customer has no total, or isn't known. */
  boolean isUnlimited(String customer) {
    return prepaidTotal.apply(customer).isEmpty();
  }

  /** Reserves {@code tokens} from those that other instances have given; returns whether it did. */
  boolean reserveDrawn(String customer, long tokens, ReservationListener listener) {
    return account(customer).takeDrawn(tokens, listener);
  }

  /** Returns the number of tokens that other instances have given and that are not reserved. */
  long drawn(String customer) {
    return account(customer).drawn();
  }

  /**
   * Returns the customers for which this instance has unreserved tokens that other instances gave.
   */
  List<String> customersWithDrawnTokens() {
    return accounts.values().stream()
        .filter(account -> account.drawn() > 0)
        .map(CustomerAccount::customer)
        .toList();
  }

  /**
   * Removes all unreserved tokens of the customer that other instances gave; returns their number.
   */
  long removeDrawn(String customer) {
    return account(customer).removeDrawn();
  }

  /** Takes back tokens that another instance was given and has not used. */
  public void takeBackUnused(String customer, long tokens) {
    CustomerAccount account = account(customer);
    account.takeBack(tokens);
    account.serveWaiting(total(account), clock.instant());
  }

  /** Returns whether this instance may give tokens to other instances. */
  public boolean mayGiveTokens() {
    return !closing;
  }

  /** Returns whether the configuration holds a total of the customer. */
  public boolean knowsTotal(String customer) {
    return prepaidTotal.apply(customer).isPresent();
  }

  /** Returns the customer's total in the configuration; 0 if there is none. */
  long total(String customer) {
    return prepaidTotal.apply(customer).orElse(0);
  }

  /** Returns the number of the customer's tokens that are idle at this instance. */
  public long idle(String customer) {
    return account(customer).idle();
  }

  /** Returns whether this instance can currently claim more tokens through the log. */
  public boolean acceptsClaims() {
    return logAvailability.acceptsClaims();
  }

  /** Cancels the token request of a request that has ended. */
  public void cancel(String customer, ReservationListener listener) {
    account(customer).waiting().removeIf(waiting -> waiting.listener() == listener);
  }

  /** Counts {@code used} tokens of a reservation as spent and frees the rest. */
  public void settle(Reservation reservation, long used) {
    if (reservation.tokens() == 0) {
      return;
    }
    CustomerAccount account = account(reservation.customer());
    account.settle(reservation, Math.min(used, reservation.tokens()));
    account.serveWaiting(total(account), clock.instant());
  }

  /**
   * Returns the customers with requests that have been waiting for tokens since {@code since} or
   * longer.
   */
  List<String> customersWaitingSince(Instant since) {
    return accounts.values().stream()
        .filter(
            account ->
                account.waiting().stream().anyMatch(each -> !each.waitingSince().isAfter(since)))
        .map(CustomerAccount::customer)
        .toList();
  }

  /** Returns the number of tokens that the customer's waiting requests lack. */
  long shortfall(String customer) {
    CustomerAccount account = account(customer);
    return account.missingTokens(total(account), clock.instant());
  }

  /**
   * Returns the number of idle tokens of the customer at each other instance, according to its
   * newest note.
   */
  Map<String, Long> idleByPeer(String customer) {
    return account(customer).peerAccounts().idleByInstance();
  }

  /** Gives another instance up to {@code wanted} tokens; returns the number given. */
  public long giveToPeer(String customer, long wanted) {
    OptionalLong total = prepaidTotal.apply(customer);
    if (!logAvailability.loaded() || total.isEmpty()) {
      return 0;
    }
    return account(customer).give(wanted, total.getAsLong(), clock.instant());
  }

  /** Adds tokens that another instance has given. */
  void addDrawn(String customer, long tokens) {
    CustomerAccount account = account(customer);
    account.addDrawn(tokens);
    account.serveWaiting(total(account), clock.instant());
  }

  /** Records whether the log can be reached; this decides which requests may wait for it. */
  public void onLogReachable(boolean reachable) {
    logAvailability.onReachable(reachable, clock.instant());
  }

  /**
   * Returns all unreserved tokens from now on, because the process is about to end. They are
   * returned immediately and not at the end, since the log may be unavailable then, and tokens that
   * are held when the process ends are lost to the customer.
   */
  public void close() {
    closing = true;
    accounts.values().forEach(CustomerAccount::close);
  }

  /** Returns whether the log says for every account that this instance holds nothing. */
  public boolean allReturned() {
    return accounts.values().stream().allMatch(CustomerAccount::returned);
  }

  /** Sets what runs whenever a request begins to wait for tokens. */
  public void onWaiting(Runnable listener) {
    waitingListener = listener;
  }

  /** Returns whether a request waits for tokens. */
  public boolean anyWaiting() {
    for (CustomerAccount account : accounts.values()) {
      if (!account.waiting().isEmpty()) {
        return true;
      }
    }
    return false;
  }

  /** Returns when {@link #tick} is due again. */
  public Instant dueAt() {
    return anyWaiting() ? Instant.MIN : clock.instant().plus(IDLE_INTERVAL);
  }

  /**
   * Refuses requests that have waited too long, updates the consumption rates and reports the
   * accounts.
   */
  public void tick() {
    Instant now = clock.instant();
    detectClockSteps(now);
    recoverAfterPowerLoss();
    if (logAvailability.loaded()) {
      writeOffUnknownPasts();
    }
    if (!now.isBefore(nextRate)) {
      nextRate = now.plus(RATE_INTERVAL);
      accounts.values().forEach(account -> account.demand().update());
    }
    for (CustomerAccount account : accounts.values()) {
      if (isUnlimited(account.customer())) {
        refuseAll(account);
      } else {
        account.serveWaiting(total(account), now);
        refuseUnservable(account, total(account));
      }
    }
    if (logAvailability.loaded() && !now.isBefore(nextReport)) {
      nextReport = now.plus(REPORT_INTERVAL);
      accounts.values().forEach(this::report);
    }
  }

  /** Detects that the wall clock was set or that the machine was suspended. */
  private void detectClockSteps(Instant now) {
    ClockReading reading = machineClock.get();
    if (reading.since(lastReading).isEmpty()) {
      wallClockSteps.onStep(reading.wallClockStepSince(lastReading), now);
    }
    lastReading = reading;
  }

  /**
   * Reclaims tokens that previous processes can't have used, once the count of heartbeats is known.
   */
  private void recoverAfterPowerLoss() {
    if (recovered || !logAvailability.loaded()) {
      return;
    }
    Optional<HeartbeatCount> heartbeatCount = heartbeats.get();
    if (heartbeatCount.isEmpty()) {
      return;
    }
    recovered = true;
    for (CustomerAccount account : accounts.values()) {
      account
          .recover(clocksAtStart, lastReading, heartbeatCount.get())
          .ifPresent(takeover -> events.accept(takeover.event()));
    }
  }

  /**
   * Returns the count of heartbeats to put into a note; {@code UNCOUNTED} if it is unknown or if
   * the wall clock of the same note may be set back soon.
   */
  private long heartbeatsForNote(Instant now) {
    return wallClockSteps.mayBeSetBack(now)
        ? SharedNote.Account.UNCOUNTED
        : heartbeats.get().map(HeartbeatCount::count).orElse(SharedNote.Account.UNCOUNTED);
  }

  private void report(CustomerAccount account) {
    events.accept(
        new GatewayEvent.AccountLevel(
            account.customer(),
            total(account),
            account.takenByFleet(),
            account.writtenOff() + account.peerAccounts().writtenOff(),
            account.spent(),
            account.writtenOff(),
            account.held(),
            account.idle(),
            account.tokensPerSecond()));
  }

  @Override
  public void onLoaded(List<SharedNote> notes, boolean first) {
    notes.forEach(note -> load(note, first));
    logAvailability.onLoaded();
    Instant now = clock.instant();
    accounts
        .values()
        .forEach(
            account -> {
              account.onAllLoaded();
              account.decideClaim(total(account), now);
            });
  }

  /**
   * Loads one of the newest notes. If an instance has no note any more, or an unreadable one, the
   * last known state is kept: instances never withdraw their notes, so the instance still holds
   * what it held.
   */
  private void load(SharedNote note, boolean first) {
    boolean own = note.instance().equals(instance);
    switch (note) {
      case SharedNote.Account accountNote when !own ->
          account(accountNote.customer()).peerAccounts().update(accountNote);
      case SharedNote.Account accountNote when first ->
          account(accountNote.customer()).takeOver(accountNote, clocksAtStart);
      case SharedNote.UnreadableAccount unreadable when !own ->
          accountInKey(unreadable.customer()).peerAccounts().onUnreadable(unreadable);
      case SharedNote.UnreadableAccount unreadable when first -> takeOverUnreadable(unreadable);
      case SharedNote.UnreadableAccount unreadable ->
          accountInKey(unreadable.customer()).renewNote();
      default -> {}
    }
  }

  private void takeOverUnreadable(SharedNote.UnreadableAccount note) {
    LOG.warn(
        "an account that a previous process left can't be read, of customer {}; {}",
        note.customer(),
        note.taken().isPresent()
            ? "writing off all %d tokens that it had taken".formatted(note.taken().getAsLong())
            : "writing off all tokens that no other instance has");
    accountInKey(note.customer()).takeOverUnreadable(note);
  }

  /**
   * Replaces the unreadable notes of previous processes once the totals are known, so that a
   * customer isn't refused for as long as this process runs.
   */
  private void writeOffUnknownPasts() {
    for (CustomerAccount account : accounts.values()) {
      if (account.pastUnknown()) {
        prepaidTotal.apply(account.customer()).ifPresent(account::writeOffUnknownPast);
      }
    }
  }

  @Override
  public void onNote(SharedNote note, boolean own) {
    switch (note) {
      case SharedNote.Account accountNote when own ->
          onOwnNote(account(accountNote.customer()), accountNote);
      case SharedNote.Account accountNote ->
          account(accountNote.customer()).peerAccounts().update(accountNote);
      // No note of another instance was missed: the content of its previous note is still valid.
      case SharedNote.UnreadableAccount unreadable when own ->
          accountInKey(unreadable.customer()).renewNote();
      default -> {}
    }
  }

  /**
   * Decides this instance's claim when its own note with the claim is read back.
   *
   * <p>A foreign note under this instance's key can be read before this instance's own note, which
   * is still on its way to the log. If the claim were decided by the foreign note, claims of other
   * instances between the two notes would not be counted, and both claims could be granted.
   */
  private void onOwnNote(CustomerAccount account, SharedNote.Account accountNote) {
    if (!account.wroteNote(accountNote)) {
      LOG.warn(
          "found a foreign note under this instance's key for the account of customer {}; writing the note again",
          account.customer());
      account.renewNote();
    } else if (accountNote.claimed() > 0) {
      account.decideClaim(total(account), clock.instant());
    }
  }

  @Override
  public void onWritten() {
    Instant now = clock.instant();
    accounts.values().forEach(account -> account.onWritten(total(account), now));
  }

  @Override
  public boolean awaitsOwnNote() {
    return accounts.values().stream().anyMatch(account -> !account.claimDecided());
  }

  /**
   * Sets whether the log has to be read although this instance holds no tokens and no request
   * waits.
   */
  void requireLog(boolean needed) {
    logRequired = needed;
  }

  /**
   * Returns whether this instance needs the log. An instance that holds no tokens requests them
   * from holders and needs no other information about the totals.
   */
  @Override
  public boolean needsLog() {
    return logRequired
        || holders.holdsAny()
        || !recovered
        || accounts.values().stream().anyMatch(CustomerAccount::needsLog);
  }

  @Override
  public void onLogReadingPaused() {
    logAvailability.onReadingPaused();
  }

  @Override
  public void onLogReadingResumed() {
    logAvailability.onReadingResumed(clock.instant());
  }

  @Override
  public boolean awaitsPeerNotes() {
    return anyWaiting();
  }

  @Override
  public List<SharedNote> notesToWrite(Instant now) {
    boolean refill = !now.isBefore(nextRefill);
    detectClockSteps(now);
    ClockReading reading = lastReading;
    long heartbeatCount = heartbeatsForNote(now);
    List<SharedNote> notes =
        composeNotes(
            account ->
                account.nextNote(
                    instance,
                    total(account),
                    share(account),
                    refill,
                    reading,
                    heartbeatCount,
                    now));
    if (notes.isEmpty()) {
      return notes;
    }
    nextRefill = now.plus(REFILL_INTERVAL);
    notes.addAll(
        composeNotes(
            account -> account.renewal(instance, total(account), reading, heartbeatCount, now)));
    return notes;
  }

  /**
   * Composes a note for each account that has one to write. An account whose numbers are out of
   * range stays as its last note says and doesn't keep the others from being written.
   */
  private List<SharedNote> composeNotes(Function<CustomerAccount, Optional<SharedNote>> composer) {
    List<SharedNote> notes = new ArrayList<>();
    for (CustomerAccount account : accounts.values()) {
      try {
        composer.apply(account).ifPresent(notes::add);
        customersOutOfRange.remove(account.customer());
      } catch (IllegalArgumentException e) {
        if (customersOutOfRange.add(account.customer())) {
          LOG.error("no note can be written for customer {}", account.customer(), e);
        }
      }
    }
    return notes;
  }

  private CustomerAccount.Share share(CustomerAccount account) {
    String customer = account.customer();
    return new CustomerAccount.Share(holders.holds(customer), holders.count(customer));
  }

  private void refuseUnservable(CustomerAccount account, long total) {
    if (account.waiting().isEmpty()) {
      return;
    }
    Instant now = clock.instant();
    long ahead = 0;
    for (WaitingRequest request : List.copyOf(account.waiting())) {
      Optional<Problem> problem = refusalPolicy.refusal(account, request, ahead, total, now);
      if (problem.isPresent()) {
        account.waiting().remove(request);
        request.listener().onRefused(problem.get());
      } else {
        ahead += request.tokens();
      }
    }
  }

  /** Refuses the requests that wait for tokens of a total that has been removed. */
  private static void refuseAll(CustomerAccount account) {
    List<WaitingRequest> refused = List.copyOf(account.waiting());
    account.waiting().removeAll(refused);
    refused.forEach(
        request -> request.listener().onRefused(RefusalPolicy.totalRemoved(account.customer())));
  }

  private long total(CustomerAccount account) {
    return prepaidTotal.apply(account.customer()).orElse(0);
  }

  private CustomerAccount account(String customer) {
    CustomerAccount account =
        accounts.computeIfAbsent(
            SharedNote.customerInKey(customer), inKey -> new CustomerAccount(customer));
    account.rename(customer);
    return account;
  }

  /** Returns the account that an unreadable note is about; the note may not tell its name. */
  private CustomerAccount accountInKey(String customerInKey) {
    return accounts.computeIfAbsent(customerInKey, CustomerAccount::new);
  }
}
