package org.teaseldeal.decisions;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.random.RandomGenerator;

/**
 * Sheds a part of the new requests while this instance's event loop can't keep up.
 *
 * <p>A load balancer that chooses the instance by a hash of the caller may give a fifth of a data
 * centre's callers to one of twenty instances. That instance's loop then lags by seconds, its
 * callers wait until their deadlines although their backend servers answered in time, and the other
 * instances are idle. A caller that is refused at once comes back to another instance.
 *
 * <p>The part that is shed grows with the time by which the loop was late in the last second. A
 * single long stall, such as a suspension of the machine, sheds nothing: those who waited through
 * it are served first.
 */
public final class LoopOverload {
  private static final Duration WINDOW = Duration.ofSeconds(1);

  /** A single delay counts for no more than this. */
  private static final Duration MAX_COUNTED_DELAY = Duration.ofMillis(300);

  /** Shorter delays are normal: a collection of garbage, or a burst of requests. */
  private static final Duration MIN_COUNTED_DELAY = Duration.ofMillis(50);

  /** The delay in the window from which on requests are shed, in parts of the window. */
  private static final double TOLERATED = 0.35;

  /** The largest part of the requests that is shed; the others show when the loop keeps up. */
  private static final double MAX_SHED = 0.9;

  private record Delay(Instant at, Duration counted) {}

  private final RandomGenerator random;
  private final Deque<Delay> delays = new ArrayDeque<>();
  private Duration total = Duration.ZERO;

  public LoopOverload(RandomGenerator random) {
    this.random = random;
  }

  /** Records by how much a tick of the event loop was late. */
  public void onTick(Duration late, Instant now) {
    Instant earliest = now.minus(WINDOW);
    while (!delays.isEmpty() && delays.getFirst().at().isBefore(earliest)) {
      total = total.minus(delays.removeFirst().counted());
    }
    if (late.compareTo(MIN_COUNTED_DELAY) >= 0) {
      Duration counted = late.compareTo(MAX_COUNTED_DELAY) < 0 ? late : MAX_COUNTED_DELAY;
      delays.addLast(new Delay(now, counted));
      total = total.plus(counted);
    }
  }

  /** Returns whether a new request is to be refused. */
  public boolean sheds() {
    double part = (double) total.toMillis() / WINDOW.toMillis();
    if (part <= TOLERATED) {
      return false;
    }
    double shed = Math.min(MAX_SHED, (part - TOLERATED) / (1 - TOLERATED));
    return random.nextDouble() < shed;
  }
}
