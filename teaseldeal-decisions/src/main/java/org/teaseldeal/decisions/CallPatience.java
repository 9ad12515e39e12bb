package org.teaseldeal.decisions;

import java.time.Duration;

/**
 * How long to wait for the answer of a call that is done once, however often it is sent.
 *
 * <p>Load pattern: a service becomes many times slower, and does the calls of many callers one
 * after the other. Each that gives up and sends its call again has it queued a second time, so the
 * queue grows beyond what anyone waits for, and no call is answered any more though the service
 * works all the time. So a call that wasn't answered is waited for longer, until answers come fast
 * again.
 *
 * <p>Load pattern: the service is gone, and connections to it stay silent. A caller that waits long
 * notices late that it is back. So there is a bound, about the longest queue that a service takes.
 */
public final class CallPatience {
  private static final int ANSWER_TIMES = 3;
  private static final int GROWTH = 2;

  private final Duration shortest;
  private final Duration longest;
  private Duration present;

  /** Creates a patience between two bounds, at first the shorter one. */
  public CallPatience(Duration shortest, Duration longest) {
    this.shortest = shortest;
    this.longest = longest;
    this.present = shortest;
  }

  /** How long to wait now. */
  public Duration present() {
    return present;
  }

  /** Takes note of a call that was answered after {@code took}. */
  public void onAnswered(Duration took) {
    present = bounded(took.multipliedBy(ANSWER_TIMES));
  }

  /** Takes note of a call that was sent and not answered in time. */
  public void onUnanswered() {
    present = bounded(present.multipliedBy(GROWTH));
  }

  private Duration bounded(Duration patience) {
    if (patience.compareTo(shortest) < 0) {
      return shortest;
    }
    return patience.compareTo(longest) > 0 ? longest : patience;
  }
}
