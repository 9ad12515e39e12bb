package org.teaseldeal.decisions;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * When an instance asks others for idle tokens of a customer, and in which order.
 *
 * <p>Load pattern: all instances are cut off from the log at once, and still reach each other. What
 * each may use at once is less than one large request, since a loss of power loses it, so most
 * large requests would wait for seconds; together the instances have enough for all of them. So an
 * instance that lacks tokens draws on what others may use at once.
 *
 * <p>Load pattern: many instances lack tokens of the same customer in the same moment. If all asked
 * the one with the most, each but the first would come in vain. So those with much are likely to be
 * asked first, and no more than that.
 */
public final class DrawOrder {
  /** A log that can be reached has granted a wish by then, several times over. */
  public static final Duration ASK_AFTER = Duration.ofMillis(60);

  /** Between rounds of asking: what others may use grows slowly while the log is away. */
  public static final Duration ROUND_PAUSE = Duration.ofMillis(200);

  /** How long a request may wait for what others have; a round of asking ends well within it. */
  public static final Duration LONGEST_ROUND = Duration.ofMillis(250);

  /** An instance that can't be reached is left out for about the time that a restart takes. */
  public static final Duration UNREACHABLE_PAUSE = Duration.ofSeconds(2);

  /** Instances asked in a round: their answers come one after the other, in a few milliseconds. */
  private static final int MOST_ASKED = 8;

  /** Where an instance comes; the heaviest first. */
  private record Place(String instance, double weight) {}

  private DrawOrder() {}

  /**
   * The instances to ask, one after the other.
   *
   * @param idle what each said to have idle; those without any are left out
   */
  public static List<String> of(Map<String, Long> idle, RandomGenerator random) {
    return idle.entrySet().stream()
        .filter(entry -> entry.getValue() > 0)
        .map(entry -> new Place(entry.getKey(), entry.getValue() * random.nextDouble()))
        .sorted(Comparator.comparingDouble(Place::weight).reversed())
        .limit(MOST_ASKED)
        .map(Place::instance)
        .toList();
  }
}
