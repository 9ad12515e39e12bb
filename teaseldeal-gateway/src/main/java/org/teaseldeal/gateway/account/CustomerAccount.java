package org.teaseldeal.gateway.account;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import org.jspecify.annotations.Nullable;
import org.teaseldeal.decisions.IdleTokenRelease;
import org.teaseldeal.decisions.PrepaidLease;
import org.teaseldeal.gateway.log.SharedNote;

/**
 * This instance's part of one customer's total, and the newest notes of the other instances about
 * theirs.
 *
 * <p>The sum of spent, lost and held tokens never exceeds the sum in this instance's newest note,
 * so the log is an upper bound of what is spent. The sum rises only when a claim is granted, and
 * other instances rely on a lower sum only after a note with that lower sum has been written.
 */
final class CustomerAccount {
  /** Fraction of its target size below which a lease is refilled by a note of its own. */
  private static final double REFILL_THRESHOLD = 0.6;

  private static final Duration NEVER = Duration.ofDays(1);

  /**
   * Maximum age of a note after tokens have been taken. A successor reclaims all delayed tokens
   * only if it starts before {@link IdleTokenRelease} begins to release them, counted from the
   * note. If notes could be 100 ms older, the release would have to begin 100 ms later, and callers
   * would wait 100 ms longer at the beginning of a network partition.
   */
  private static final Duration MAX_USED_NOTE_AGE = Duration.ofMillis(200);

  /**
   * Maximum age of a note from which no tokens have been taken.
   *
   * <p>An instance that gets few requests of a customer would write no note for seconds. If it then
   * lost power, its successor could not distinguish this from an instance that had been partitioned
   * from the log for the same time, and would write off all tokens that such an instance may have
   * used.
   */
  private static final Duration MAX_UNUSED_NOTE_AGE = Duration.ofMillis(400);

  /**
   * Maximum age of a note that shows tokens as used that have been returned since.
   *
   * <p>When a customer's last requests end, they may have used less than reserved. If no further
   * request arrived, no note would be written, and other instances would refuse requests as unpaid
   * although the total covers them.
   */
  private static final Duration MAX_OUTDATED_USAGE_AGE = Duration.ofSeconds(1);

  /**
   * The share of the total that this instance is to hold.
   *
   * @param held whether this instance holds any part
   * @param holders number of instances among which the total is divided
   */
  record Share(boolean held, int holders) {}

  private String customer;
  private final PeerAccounts peerAccounts = new PeerAccounts();
  private final Demand demand = new Demand();
  private final List<WaitingRequest> waiting = new ArrayList<>();

  /** Own notes that have been written but not read back yet, in the order of writing. */
  private final Queue<SharedNote.Account> unconfirmedNotes = new ArrayDeque<>();

  private boolean pastUnknown;
  private long spent;

  /**
   * Tokens held by previous processes on this machine when they ended, which have been written off.
   */
  private long writtenOff;

  /** What was taken over from a previous process, until the count of heartbeats is known. */
  private @Nullable Takeover takeover;

  private long reserved;
  private long idle;

  /**
   * Unreserved tokens that other instances have given. No note of this instance contains them; they
   * count as spent in the notes of the giving instances.
   */
  private long drawn;

  private long claimed;
  private boolean noteDue;
  private boolean closing;
  private Share share = new Share(true, 1);

  private final ReleaseLimit releaseLimit = new ReleaseLimit();

  /** Tokens spent or reserved according to this instance's newest note. */
  private long inUsePublished;

  /** Whether this instance's newest note says that requests are waiting here. */
  private boolean shortfallPublished;

  CustomerAccount(String customer) {
    this.customer = customer;
  }

  /** Sets the customer's name, of which only a hash may have been known. */
  void rename(String name) {
    customer = name;
  }

  String customer() {
    return customer;
  }

  List<WaitingRequest> waiting() {
    return waiting;
  }

  long spent() {
    return spent;
  }

  long writtenOff() {
    return writtenOff;
  }

  long held() {
    return reserved + idle;
  }

  long idle() {
    return idle;
  }

  long drawn() {
    return drawn;
  }

  long tokensPerSecond() {
    return Math.round(demand.tokensPerSecond());
  }

  /** Returns whether no claim is pending, so that no claim can serve the waiting requests. */
  boolean claimDecided() {
    return claimed == 0;
  }

  PeerAccounts peerAccounts() {
    return peerAccounts;
  }

  Demand demand() {
    return demand;
  }

  /**
   * Takes over from a previous process on this machine.
   *
   * @param clocksAtStart clocks at the start of this process, when the previous process had already
   *     ended
   */
  void takeOver(SharedNote.Account note, ClockReading clocksAtStart) {
    Takeover initial = Takeover.of(note, clocksAtStart);
    takeover = initial;
    spent += note.spent();
    writtenOff += note.writtenOff() + initial.writtenOff();
    noteDue = true;
  }

  /**
   * Reclaims tokens that were idle at a previous process when the machine lost power, if the wall
   * clock and the heartbeats of backend servers agree on how long ago its last note was written.
   *
   * <p>If all machines lose power, all idle tokens, which can be half of the remaining total, would
   * count as spent. Customers would then be refused for the rest of the day although most of their
   * total is unused.
   *
   * @param clocksAtStart clocks at the start of this process
   * @param counted clocks when {@code heartbeats} was counted
   * @return what was taken over; empty if there was no previous process
   */
  Optional<Takeover> recover(
      ClockReading clocksAtStart, ClockReading counted, HeartbeatCount heartbeats) {
    Takeover initial = takeover;
    if (initial == null) {
      return Optional.empty();
    }
    takeover = null;
    Takeover updated = initial.withHeartbeats(clocksAtStart, counted, heartbeats);
    writtenOff -= initial.writtenOff() - updated.writtenOff();
    noteDue = true;
    return Optional.of(updated);
  }

  /**
   * Records that the note of previous processes on this machine can't be read.
   *
   * <p>A process that started from zero would write that nothing was spent, and all other instances
   * would rely on it. Therefore all tokens that the note shows as taken are written off. If it
   * doesn't even show that, this process gives out no tokens of the customer and writes no note
   * until {@link #writeOffUnknownPast} is called.
   */
  void takeOverUnreadable(SharedNote.UnreadableAccount note) {
    if (note.taken().isPresent()) {
      writtenOff += note.taken().getAsLong();
      noteDue = true;
    } else {
      pastUnknown = true;
    }
  }

  /**
   * Writes off what previous processes may have taken if their note doesn't show how much that is:
   * all of the total that no other instance has. Tokens by which the total is raised later can be
   * used, and the other instances know again what this one holds.
   */
  void writeOffUnknownPast(long total) {
    writtenOff += Math.max(0, total - peerAccounts.taken());
    pastUnknown = false;
    noteDue = true;
  }

  boolean pastUnknown() {
    return pastUnknown;
  }

  /** Causes this instance's note to be written again because a foreign note has replaced it. */
  void renewNote() {
    noteDue = true;
  }

  /** Returns whether a note under this instance's key was written by this instance. */
  boolean wroteNote(SharedNote.Account note) {
    if (!unconfirmedNotes.contains(note)) {
      return false;
    }
    while (!note.equals(unconfirmedNotes.poll())) {
      // Earlier notes were replaced before they could be read.
    }
    return true;
  }

  /** Called when all notes have been loaded again, including those written by this instance. */
  void onAllLoaded() {
    unconfirmedNotes.clear();
  }

  long takenByFleet() {
    return SaturatingSum.of(peerAccounts.taken(), spent, writtenOff, held());
  }

  /**
   * Returns the tokens that no instance has; 0 as long as the holdings of some instance are
   * unknown.
   */
  private long free(long total) {
    return free(total, idle);
  }

  /** Returns the same for the case that this instance keeps {@code kept} idle tokens. */
  private long free(long total, long kept) {
    return peerAccounts.allKnown() && !pastUnknown
        ? Math.max(
            0, total - SaturatingSum.of(peerAccounts.taken(), spent, writtenOff, reserved, kept))
        : 0;
  }

  /** Returns whether the total may cover a request if all idle and lost tokens count as free. */
  boolean mayCover(long tokens, long total) {
    return tokens <= total - spent - reserved - peerAccounts.inUse() + drawn;
  }

  /** Returns whether the request could be granted if all instances returned their idle tokens. */
  boolean couldBeGranted(long tokens, long total) {
    return mayCover(tokens + writtenOff + peerAccounts.writtenOff(), total);
  }

  /**
   * Called when the pending note is on the log, so that the tokens that it releases may be used.
   */
  void onWritten(long total, Instant now) {
    releaseLimit.confirmPending();
    serveWaiting(total, now);
  }

  /**
   * Called when the note with the claim has been read back, so that all earlier notes are known.
   */
  void decideClaim(long total, Instant now) {
    long claim = claimed;
    claimed = 0;
    if (claim > 0) {
      if (claim <= free(total)) {
        idle += claim;
      } else {
        noteDue = true;
      }
    }
    serveWaiting(total, now);
  }

  void serveWaiting(long total, Instant now) {
    for (WaitingRequest request : List.copyOf(waiting)) {
      // A request that gets its tokens may settle at once and thereby cause others to be served
      // before this loop ends.
      if (isAvailable(request, total, now) && waiting.remove(request)) {
        give(request);
      }
    }
  }

  /** Reserves the tokens of a request if they are available; returns whether it did. */
  boolean take(WaitingRequest request, long total, Instant now) {
    if (!isAvailable(request, total, now)) {
      return false;
    }
    give(request);
    return true;
  }

  private boolean isAvailable(WaitingRequest request, long total, Instant now) {
    return request.tokens() - Math.min(drawn, request.tokens()) <= availableOwn(total, now);
  }

  private void give(WaitingRequest request) {
    long fromDrawn = Math.min(drawn, request.tokens());
    Reservation reservation = new Reservation(customer, request.tokens(), fromDrawn);
    drawn -= fromDrawn;
    useIdle(reservation.ownTokens());
    reserved += reservation.ownTokens();
    request.listener().onReserved(reservation);
  }

  /**
   * Reserves tokens for a request if other instances have given as many; returns whether it did.
   */
  boolean takeDrawn(long tokens, ReservationListener listener) {
    if (tokens > drawn) {
      return false;
    }
    Reservation reservation = new Reservation(customer, tokens, tokens);
    drawn -= tokens;
    listener.onReserved(reservation);
    return true;
  }

  /**
   * Gives another instance up to {@code wanted} tokens, which count as spent here from now on.
   *
   * <p>If this process is killed, its successor reclaims the tokens that the last note shows as
   * idle. If this process had given away more than that note allows it to use, the same tokens
   * would be given out twice. Therefore the notes limit tokens for other instances in the same way
   * as tokens for own requests.
   */
  long give(long wanted, long total, Instant now) {
    if (!waiting.isEmpty()) {
      return 0;
    }
    long given = Math.min(wanted, availableOwn(total, now));
    useIdle(given);
    spent += given;
    return given;
  }

  /** Adds tokens that another instance has given. */
  void addDrawn(long tokens) {
    drawn += tokens;
  }

  long removeDrawn() {
    long taken = drawn;
    drawn = 0;
    return taken;
  }

  /**
   * Takes back tokens that another instance was given and has not used. Some holder has counted
   * them as spent; if it was another holder than this instance, the sum of both accounts is still
   * correct.
   */
  void takeBack(long tokens) {
    long back = Math.min(tokens, spent);
    spent -= back;
    idle += back;
  }

  private void useIdle(long tokens) {
    releaseLimit.take(tokens);
    idle -= tokens;
  }

  /** Returns the idle tokens that may be used now. */
  private long availableOwn(long total, Instant now) {
    return Math.max(0, Math.min(usable(total), releaseLimit.available(now)));
  }

  /**
   * Returns the idle tokens that may be used at all; fewer than idle if the total was lowered below
   * what has been given out.
   */
  private long usable(long total) {
    return idle - Math.max(0, takenByFleet() - total);
  }

  /**
   * Returns the longest time until {@code tokens} can be taken without the log; {@link #NEVER} if
   * they can't.
   */
  Duration untilReleased(long tokens, long total, Instant now) {
    long own = Math.max(0, tokens - drawn);
    if (own > usable(total)) {
      return NEVER;
    }
    return releaseLimit.untilAvailable(own, now);
  }

  /** Counts the used tokens, first out of the part that other instances have given. */
  void settle(Reservation reservation, long used) {
    long usedDrawn = Math.min(used, reservation.drawn());
    long usedOwn = used - usedDrawn;
    drawn += reservation.drawn() - usedDrawn;
    reserved -= reservation.ownTokens();
    spent += usedOwn;
    idle += reservation.ownTokens() - usedOwn;
  }

  /**
   * Moves unused tokens that other instances gave into this instance's account: they become idle
   * own tokens, and the number of spent tokens decreases by as many. The sum in the next note stays
   * the same.
   *
   * <p>Tokens that are in no note are lost when this process ends. Without this exchange, each
   * network partition would cost the customer the tokens that were given to other instances and not
   * used.
   */
  private void absorbDrawn() {
    long taken = absorbableDrawn();
    drawn -= taken;
    spent -= taken;
    idle += taken;
  }

  /**
   * Returns the tokens to move into the account; 0 if this instance holds no part, since it then
   * returns such tokens to holders.
   */
  private long absorbableDrawn() {
    return share.held() || closing ? Math.min(drawn, spent) : 0;
  }

  /** Returns the tokens that waiting requests lack beyond those available to them now. */
  long missingTokens(long total, Instant now) {
    return Math.max(0, waitingTokens() - drawn - availableOwn(total, now));
  }

  /** Returns whether the request could be served if all other instances gave their idle tokens. */
  boolean coveredWithPeers(long tokens) {
    return tokens <= SaturatingSum.of(drawn, idle, peerAccounts.idle());
  }

  /**
   * Returns the note to write now, if one is due.
   *
   * @param refill whether notes may be written that are not urgent
   */
  Optional<SharedNote> nextNote(
      String instance,
      long total,
      Share currentShare,
      boolean refill,
      ClockReading reading,
      long heartbeats,
      Instant now) {
    if (pastUnknown) {
      return Optional.empty();
    }
    share = currentShare;
    long remaining = free(total);
    long target = holdsNone() ? 0 : target(total);
    long claim = claimForWaiting(remaining);
    boolean urgent = claim > 0 || awaitsRelease(total, now);
    boolean scarce = unmetElsewhere(remaining) > 0;
    long surplus = surplus(remaining);
    boolean belowRefillThreshold = remaining > 0 && idle < target * REFILL_THRESHOLD && !scarce;
    boolean published = shortfall() > 0 == shortfallPublished && absorbableDrawn() == 0;
    boolean optional =
        noteDue || belowRefillThreshold || surplus > 0 || !published || noteOutdated(now);
    if (!urgent && !(refill && optional)) {
      return Optional.empty();
    }
    if (!scarce) {
      claim = Math.max(claim, Math.min(target - idle, remaining));
    }
    return Optional.of(compose(instance, total, idle - surplus, claim, reading, heartbeats, now));
  }

  /**
   * Returns a note that only refreshes the last one, to be written together with other notes; empty
   * if the last one is recent or no tokens are idle. A successor has to assume that idle tokens of
   * an old note have been used, so without the refresh, a kill would lose the leases of customers
   * who send few requests.
   */
  Optional<SharedNote> renewal(
      String instance, long total, ClockReading reading, long heartbeats, Instant now) {
    boolean recentNote = !now.isAfter(releaseLimit.pending().composedAt().plus(MAX_USED_NOTE_AGE));
    return idle == 0 || recentNote
        ? Optional.empty()
        : Optional.of(compose(instance, total, idle, claimed, reading, heartbeats, now));
  }

  private boolean holdsNone() {
    return closing || !share.held();
  }

  private long target(long total) {
    return new PrepaidLease(total, unreserved(total), share.holders())
        .target(demand.tokensPerSecond(), fleetTokensPerSecond(), demand.largest());
  }

  /** Returns the tokens that are neither spent nor reserved, as far as known. */
  private long unreserved(long total) {
    return SaturatingSum.of(free(total), idle, peerAccounts.idle());
  }

  private double fleetTokensPerSecond() {
    return demand.tokensPerSecond() + peerAccounts.tokensPerSecond();
  }

  /**
   * Returns whether the oldest request waits only because its tokens have not been released by a
   * note on the log.
   */
  private boolean awaitsRelease(long total, Instant now) {
    if (waiting.isEmpty()) {
      return false;
    }
    long own = waiting.getFirst().tokens() - drawn;
    return own <= idle && own > availableOwn(total, now);
  }

  /**
   * Returns the idle tokens to return: those that requests waiting at other instances lack, or all
   * if this instance is to hold none.
   */
  private long surplus(long remaining) {
    if (!waiting.isEmpty()) {
      return 0;
    }
    return holdsNone() ? idle : Math.min(idle, unmetElsewhere(remaining));
  }

  private boolean noteOutdated(Instant now) {
    boolean changed =
        releaseLimit.takenSinceConfirmed() > 0
            || (closing && releaseLimit.confirmed().held() != held());
    boolean old =
        changed && now.isAfter(releaseLimit.confirmed().composedAt().plus(MAX_USED_NOTE_AGE));
    boolean usageChanged = inUse() != inUsePublished;
    PublishedRelease pending = releaseLimit.pending();
    boolean unrefreshed =
        pending.delayedRelease().delayed() > 0
            && now.isAfter(pending.composedAt().plus(MAX_UNUSED_NOTE_AGE));
    return old
        || unrefreshed
        || (usageChanged && now.isAfter(pending.composedAt().plus(MAX_OUTDATED_USAGE_AGE)));
  }

  private long inUse() {
    return spent + reserved;
  }

  /**
   * Returns a note after which this instance keeps {@code kept} idle tokens and claims {@code
   * claim} more. The account changes only once the note is complete, so that it stays as its last
   * note says if its numbers are out of range.
   */
  private SharedNote compose(
      String instance,
      long total,
      long kept,
      long claim,
      ClockReading reading,
      long heartbeats,
      Instant now) {
    long absorbed = absorbableDrawn();
    long idleNow = kept + absorbed;
    long heldNow = reserved + idleNow;
    long lacking = shortfall();
    long unreserved = SaturatingSum.of(free(total, kept), idleNow, peerAccounts.idle());
    long immediateByDemand =
        IdleTokenRelease.immediate(demand.tokensPerSecond(), fleetTokensPerSecond(), unreserved);
    long immediate = Math.min(idleNow + claim, waitingTokens() + immediateByDemand);
    IdleTokenRelease release =
        new IdleTokenRelease(
            idleNow + claim - immediate,
            IdleTokenRelease.releasedPerSecond(
                idleNow + claim, demand.tokensPerSecond(), demand.largest()));
    SharedNote.Account note =
        new SharedNote.Account(
            instance,
            customer,
            spent - absorbed,
            writtenOff,
            heldNow,
            idleNow,
            claim,
            lacking,
            immediate,
            release.releasedPerSecond(),
            tokensPerSecond(),
            reading.steadyNanos(),
            reading.wallMillis(),
            heartbeats);
    noteDue = false;
    idle = kept;
    claimed = claim;
    absorbDrawn();
    inUsePublished = inUse();
    shortfallPublished = lacking > 0;
    releaseLimit.recordPending(new PublishedRelease(now, held(), immediate, release));
    unconfirmedNotes.add(note);
    return note;
  }

  /**
   * Returns the tokens that requests waiting at other instances lack and that can't be granted from
   * the free part of the total.
   *
   * <p>If an instance returned all idle tokens whenever a request waited anywhere, including
   * requests that were about to be granted tokens from the free part, a network partition at that
   * moment would find all leases empty, and nine in ten callers would be refused until it ended.
   */
  private long unmetElsewhere(long remaining) {
    return Math.max(0, peerAccounts.shortfall() - remaining);
  }

  /** Returns the tokens that the requests waiting here lack. */
  private long shortfall() {
    return Math.max(0, waitingTokens() - idle - drawn);
  }

  private long waitingTokens() {
    return waiting.stream().mapToLong(WaitingRequest::tokens).sum();
  }

  /** Stops keeping idle tokens. */
  void close() {
    closing = true;
  }

  /**
   * Returns whether requests wait here or the log does not yet say that this instance holds
   * nothing.
   */
  boolean needsLog() {
    return !waiting.isEmpty() || noteDue || claimed > 0 || !returned();
  }

  /** Returns whether this instance holds no tokens and the log says so. */
  boolean returned() {
    return held() == 0 && releaseLimit.confirmed().held() == 0 && absorbableDrawn() == 0;
  }

  /**
   * Returns the tokens to claim so that as many waiting requests as possible can be served, the
   * oldest first.
   */
  private long claimForWaiting(long remaining) {
    long fits = 0;
    for (WaitingRequest request : waiting) {
      if (fits + request.tokens() <= idle + drawn + remaining) {
        fits += request.tokens();
      }
    }
    return Math.max(0, fits - idle - drawn);
  }
}
