package org.teaseldeal.standin.engine;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.teaseldeal.standin.fault.SeededChance;

/**
 * A log of the prefix cache's events. Events become readable after a lag, and lost events leave
 * gaps in the sequence numbers.
 */
final class CacheEventLog implements PrefixCache.Listener {
  private static final int MAX_EVENTS = 100_000;

  private final InstantSource clock;
  private final Duration lag;
  private final double lossShare;
  private final SeededChance chance;
  private final Deque<CacheEvent> events = new ArrayDeque<>();
  private long nextSeq;

  CacheEventLog(InstantSource clock, Duration lag, double lossShare, SeededChance chance) {
    this.clock = clock;
    this.lag = lag;
    this.lossShare = lossShare;
    this.chance = chance;
  }

  @Override
  public void onStored(long block) {
    add(true, block);
  }

  @Override
  public void onRemoved(long block) {
    add(false, block);
  }

  /** Returns the events from sequence number {@code from} on whose lag has passed. */
  List<CacheEvent> read(long from) {
    Instant now = clock.instant();
    return events.stream()
        .dropWhile(event -> event.seq() < from)
        .takeWhile(event -> !event.visibleAt().isAfter(now))
        .toList();
  }

  private void add(boolean stored, long block) {
    long seq = nextSeq;
    nextSeq++;
    if (chance.occurs(lossShare)) {
      return;
    }
    events.add(new CacheEvent(seq, stored, block, clock.instant().plus(lag)));
    if (events.size() > MAX_EVENTS) {
      events.remove();
    }
  }
}
