package org.teaseldeal.decisions;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.teaseldeal.api.BackendServerId;
import org.teaseldeal.api.Preconditions;

/**
 * Limits an instance's requests at the servers of a service that fail if they have to reject too
 * many requests in a second.
 *
 * <p>The limit of rejections holds for all instances together, and the servers say it in their
 * answers. An instance learns of the others' requests only with a delay that may be longer than a
 * request takes, so a limit on the common number alone would be exceeded in each burst. Therefore
 * each instance has a window of its own at each server: first its even share of the requests that
 * the server runs at once, so that none waits there. A rejection shrinks the window and holds
 * further requests back for a while; a window that was too small grows. Both are slower the more
 * instances there are, so that the rejections of all of them stay well below what a server endures.
 */
public final class BrittleLimits {
  /** The state of the other instances, as far as it is known. */
  public record FleetLoad(int own, int others, int instances) {
    public FleetLoad {
      Preconditions.requirePositive(instances, "instances");
    }
  }

  /** The limit applies for this long after the last answer that announced it. */
  private static final Duration ANNOUNCEMENT_TTL = Duration.ofSeconds(10);

  /** All instances together aim to stay below this fraction of the rejections endured. */
  private static final double USED_FRACTION = 0.3;

  private static final double DECREASE = 0.7;
  private static final double INCREASE = 0.05;

  /** Growth of a window below the even share, which no other instance uses. */
  private static final double INCREASE_BELOW_SHARE = 0.2;

  /** The number of increases between two rejections. */
  private static final int INCREASES_PER_DECREASE = 7;

  private static final Duration MIN_INTERVAL = Duration.ofMillis(250);
  private static final Duration MAX_INTERVAL = Duration.ofSeconds(5);

  /** A window above the even share that is not used shrinks to the share after this time. */
  private static final Duration UNUSED_TTL = Duration.ofSeconds(1);

  /** Part of the even share with which a server starts that has just been listed. */
  private static final double START_FRACTION = 0.25;

  /** The other instances' load is known late, so it may seem to exceed the slots by this part. */
  private static final double LATE_LOAD_ALLOWANCE = 0.5;

  private static final double SERVICE_TIME_GAIN = 0.1;
  private static final double UNKNOWN_SERVICE_MILLIS = 500;
  private static final double MIN_WINDOW = 0.001;

  /** The part of the slots that is left free, in standard deviations of the number in use. */
  private static final double MARGIN_DEVIATIONS = 1.5;

  private static final double MIN_USABLE_PART = 0.6;

  private static final class Window {
    private double size;
    private boolean needed;
    private Instant usedFullyAt = Instant.MIN;
    private Instant changedAt;
    private Instant heldUntil = Instant.MIN;
    private Instant sentAt = Instant.MIN;

    Window(double size, Instant now) {
      this.size = size;
      this.changedAt = now;
    }
  }

  private final Map<BackendServerId, Window> windows = new HashMap<>();
  private final RandomGenerator random;
  private int maxRejections;
  private Instant announcedUntil = Instant.MIN;
  private double serviceMillis;

  /** Creates limits that spread the first requests of small windows by {@code random}. */
  public BrittleLimits(RandomGenerator random) {
    this.random = random;
  }

  /**
   * Records that an answer announced that the servers endure {@code newMaxRejections} rejections
   * per second.
   */
  public void onAnnounced(int newMaxRejections, Instant now) {
    Preconditions.requireNotNegative(newMaxRejections, "max rejections");
    if (!isInForce(now)) {
      windows.clear();
    }
    maxRejections = newMaxRejections;
    announcedUntil = now.plus(ANNOUNCEMENT_TTL);
  }

  /** Records an answer without an announcement, so that no limit is in force any more. */
  public void onNotAnnounced() {
    announcedUntil = Instant.MIN;
  }

  /** Returns whether the servers have announced a limit. */
  public boolean isInForce(Instant now) {
    return now.isBefore(announcedUntil);
  }

  /** Records how long a server took for an answer. */
  public void onAnswered(Duration took) {
    double millis = Math.max(1, took.toMillis());
    serviceMillis =
        serviceMillis == 0 ? millis : serviceMillis + SERVICE_TIME_GAIN * (millis - serviceMillis);
  }

  /** Records that a server is new; it may have failed a moment ago. */
  public void onListed(BackendServerId server, int slots, int instances, Instant now) {
    windows.put(server, new Window(share(slots, instances) * START_FRACTION, now));
  }

  /** Drops the servers that are no longer listed. */
  public void retain(Set<BackendServerId> listed) {
    windows.keySet().retainAll(listed);
  }

  /** Records that a server rejected a request. */
  public void onRejected(BackendServerId server, int slots, FleetLoad load, Instant now) {
    if (!isInForce(now)) {
      return;
    }
    Window window = window(server, slots, load.instances(), now);
    if (now.isBefore(window.heldUntil)) {
      return;
    }
    window.size *= DECREASE;
    window.needed = false;
    window.changedAt = now;
    window.heldUntil = now.plus(interval(load.instances()));
  }

  /**
   * Returns whether a server may be sent one more request.
   *
   * @param slots the number of requests that the server runs at once
   */
  public boolean hasRoom(BackendServerId server, int slots, FleetLoad load, Instant now) {
    if (!isInForce(now)) {
      return true;
    }
    Window window = window(server, slots, load.instances(), now);
    adapt(window, share(slots, load.instances()), load.instances(), now);
    if (now.isBefore(window.heldUntil)) {
      return false;
    }
    boolean fits = fits(window, load.own(), now);
    if (!fits) {
      window.needed = true;
      window.usedFullyAt = now;
    }
    return fits && load.own() + load.others() < slots * (1 + LATE_LOAD_ALLOWANCE);
  }

  /** Records that a request was sent to a server. */
  public void onSent(BackendServerId server, Instant now) {
    Window window = windows.get(server);
    if (window != null) {
      window.sentAt = now;
    }
  }

  /**
   * A window below one request allows a request now and then, so that on average so much of one is
   * outstanding.
   */
  private boolean fits(Window window, int own, Instant now) {
    if (window.size >= 1) {
      return own + 1 <= window.size;
    }
    long pauseMillis = pauseMillis(window.size);
    if (window.sentAt.equals(Instant.MIN)) {
      window.sentAt = now.minusMillis((long) (pauseMillis * random.nextDouble()));
    }
    return own == 0 && !now.isBefore(window.sentAt.plusMillis(pauseMillis));
  }

  /** Returns the interval at which requests are sent to a server with a window below one. */
  private long pauseMillis(double windowSize) {
    double millis = serviceMillis == 0 ? UNKNOWN_SERVICE_MILLIS : serviceMillis;
    return (long) (millis / Math.max(windowSize, MIN_WINDOW));
  }

  private void adapt(Window window, double share, int instances, Instant now) {
    Duration interval = interval(instances);
    if (now.isBefore(window.changedAt.plus(interval))) {
      return;
    }
    window.changedAt = now;
    if (window.size > share && now.isAfter(window.usedFullyAt.plus(UNUSED_TTL))) {
      window.size = share;
    } else if (window.needed) {
      double increase = window.size < share ? INCREASE_BELOW_SHARE : INCREASE;
      window.size += share * increase;
    }
    window.needed = false;
  }

  /** Returns the interval between two increases of a window, and the hold after a rejection. */
  private Duration interval(int instances) {
    double endured = Math.max(1, maxRejections * USED_FRACTION);
    long millis = (long) (1000 * instances / endured / INCREASES_PER_DECREASE);
    return Duration.ofMillis(Math.clamp(millis, MIN_INTERVAL.toMillis(), MAX_INTERVAL.toMillis()));
  }

  /**
   * Returns the even share of an instance. With more instances than slots their requests coincide
   * at random, so a part of the slots is left for that.
   */
  private static double share(int slots, int instances) {
    double usable =
        instances > slots ? Math.max(MIN_USABLE_PART, 1 - MARGIN_DEVIATIONS / Math.sqrt(slots)) : 1;
    return usable * slots / instances;
  }

  private Window window(BackendServerId id, int slots, int instances, Instant now) {
    return windows.computeIfAbsent(id, added -> new Window(share(slots, instances), now));
  }
}
