package org.teaseldeal.decisions;

import java.time.Duration;
import org.teaseldeal.api.Durations;

/**
 * Adaptive timeout for a call that takes effect once, however often it is sent.
 *
 * <p>A service may become many times slower and process the calls of many callers one after the
 * other. A caller that gives up and repeats its call has it queued a second time, so the queue
 * grows beyond the timeouts of all callers, and no call is answered any more although the service
 * works all the time. Therefore the timeout increases after an unanswered call until answers are
 * fast again.
 *
 * <p>If the service is down and connections to it stay silent, a caller with a long timeout notices
 * its return late. Therefore the timeout has an upper bound, which is about the longest queue that
 * a service accepts.
 */
public final class AdaptiveTimeout {
  private static final int ANSWER_TIME_FACTOR = 3;
  private static final int GROWTH_FACTOR = 2;

  private final Duration shortest;
  private final Duration longest;
  private Duration current;

  /** Creates a timeout between two bounds, initially the shorter one. */
  public AdaptiveTimeout(Duration shortest, Duration longest) {
    this.shortest = shortest;
    this.longest = longest;
    this.current = shortest;
  }

  /** Returns the current timeout. */
  public Duration current() {
    return current;
  }

  /** Records a call that was answered after {@code took}. */
  public void onAnswered(Duration took) {
    current = bounded(Durations.times(took, ANSWER_TIME_FACTOR));
  }

  /** Records a call that was sent and not answered in time. */
  public void onUnanswered() {
    current = bounded(Durations.times(current, GROWTH_FACTOR));
  }

  private Duration bounded(Duration timeout) {
    if (timeout.compareTo(shortest) < 0) {
      return shortest;
    }
    return timeout.compareTo(longest) > 0 ? longest : timeout;
  }
}
