package org.teaseldeal.ledger.snapshot;

import com.dynatrace.hash4j.hashing.Hashing;
import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.teaseldeal.api.IncarnationId;
import org.teaseldeal.ledger.state.InstanceView;
import org.teaseldeal.ledger.state.LedgerState;

/**
 * Decides whether this instance has to write a snapshot now.
 *
 * <p>A snapshot is due after a number of records or at a maximum age. Instances are ranked by a
 * rendezvous hash of the snapshot epoch and their incarnation. The first in rank writes at once,
 * and each further one waits for another takeover delay, so that a live instance takes over from
 * one that is down.
 *
 * <p>Ages are measured in log time and on the instance's own clock, and the larger one counts: on a
 * log without new records, log time does not advance while records still expire. Differing clocks
 * can make two instances write a snapshot in one epoch, which costs appends but does no harm.
 */
public final class SnapshotSchedule {
  private final IncarnationId self;
  private final SnapshotConfig config;
  private @Nullable Moment firstSeenInEpoch;
  private @Nullable Moment firstSeenDue;

  /** Creates the snapshot schedule of {@code self}. */
  public SnapshotSchedule(IncarnationId self, SnapshotConfig config) {
    this.self = self;
    this.config = config;
  }

  /** Returns whether {@code self} has to write a snapshot of {@code state} now. */
  public boolean isDue(LedgerState state, Instant now) {
    Moment moment = new Moment(state.snapshot().epoch(), state.logTime(), now);
    if (firstSeenInEpoch == null || firstSeenInEpoch.epoch != moment.epoch) {
      firstSeenInEpoch = moment;
      firstSeenDue = null;
    }
    if (state.foldedTo() < 0 || !isNeeded(state, moment)) {
      return false;
    }
    Moment due = firstSeenDue == null ? moment : firstSeenDue;
    firstSeenDue = due;
    int rank = rank(self, state.instances(), moment.epoch);
    return rank >= 0 && due.ageAt(moment).compareTo(config.takeoverDelay().multipliedBy(rank)) >= 0;
  }

  private boolean isNeeded(LedgerState state, Moment moment) {
    long records = state.foldedTo() - state.snapshot().coveredOffset();
    Duration ageInLogTime = Duration.between(state.snapshot().since(), state.logTime());
    Duration ageOnOwnClock =
        firstSeenInEpoch == null ? Duration.ZERO : firstSeenInEpoch.ageAt(moment);
    return records >= config.recordsPerSnapshot()
        || ageInLogTime.compareTo(config.maxAge()) >= 0
        || ageOnOwnClock.compareTo(config.maxAge()) >= 0;
  }

  /**
   * Returns the rank of {@code self} among {@code instances} in {@code epoch}, or -1 if it is not
   * among them.
   */
  static int rank(IncarnationId self, List<InstanceView> instances, long epoch) {
    return instances.stream()
        .map(InstanceView::incarnation)
        .sorted(
            Comparator.comparingLong((IncarnationId id) -> weight(id, epoch))
                .thenComparing(id -> id))
        .toList()
        .indexOf(self);
  }

  private static long weight(IncarnationId incarnation, long epoch) {
    long hash = Hashing.komihash5_0().hashCharsToLong(incarnation.value());
    return Hashing.komihash5_0().hashLongLongToLong(hash, epoch);
  }

  /**
   * A point in time in log time and on the instance's own clock. Ages are differences within one of
   * the clocks, never across them.
   */
  private record Moment(long epoch, Instant logTime, Instant ownTime) {
    Duration ageAt(Moment later) {
      Duration ageInLogTime = Duration.between(logTime, later.logTime);
      Duration ageOnOwnClock = Duration.between(ownTime, later.ownTime);
      return ageInLogTime.compareTo(ageOnOwnClock) > 0 ? ageInLogTime : ageOnOwnClock;
    }
  }
}
