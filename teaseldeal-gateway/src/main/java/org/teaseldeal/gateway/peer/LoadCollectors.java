package org.teaseldeal.gateway.peer;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import org.teaseldeal.decisions.LoadCollectorChoice;

/**
 * The collectors of the fleet, and which of them this instance reports to: the first in its own
 * order that it hears. One that has gone silent is left for the next.
 */
final class LoadCollectors {
  /** Between messages over one hop: about the time in which an instance sends two prompts. */
  private static final Duration DIRECT_INTERVAL = Duration.ofMillis(100);

  /** Between messages of collectors to each other, so that news are little older in the end. */
  private static final Duration COLLECTED_INTERVAL = Duration.ofMillis(40);

  /** Between reports to a collector, which tell changes only: each tick. */
  private static final Duration REPORT_INTERVAL = Duration.ofMillis(20);

  /** Some messages in a row, more than are lost by chance. */
  private static final Duration SILENCE = Duration.ofMillis(300);

  private final String instance;
  private final Supplier<Set<String>> fleet;
  private Set<String> known = Set.of();
  private List<String> order = List.of();
  private boolean own = true;
  private boolean direct = true;
  private String collector = "";
  private Instant heardAt = Instant.MIN;

  LoadCollectors(String instance, Supplier<Set<String>> fleet) {
    this.instance = instance;
    this.fleet = fleet;
  }

  /** Follows the fleet, and leaves a collector that has gone silent. */
  void follow(Instant now) {
    Set<String> present = fleet.get();
    if (present != known) {
      known = present;
      Set<String> collecting = LoadCollectorChoice.of(present);
      own = collecting.contains(instance) || collecting.isEmpty();
      direct = collecting.size() == present.size();
      order =
          LoadCollectorChoice.order(instance, collecting).stream()
              .filter(name -> !name.equals(instance))
              .toList();
    }
    if (own || order.isEmpty()) {
      return;
    }
    if (!order.contains(collector)) {
      turnTo(order.getFirst(), now);
    } else if (heardAt.plus(SILENCE).isBefore(now)) {
      turnTo(order.get((order.indexOf(collector) + 1) % order.size()), now);
    }
  }

  private void turnTo(String name, Instant now) {
    collector = name;
    heardAt = now;
  }

  /** Whether this instance collects. */
  boolean own() {
    return own;
  }

  /** The other collectors. */
  List<String> others() {
    return order;
  }

  /** Whom this instance reports to, unless it collects. */
  String collector() {
    return collector;
  }

  /** Takes note of a message that tells this instance what all others have. */
  void heard(String sender, Instant now) {
    if (sender.equals(collector)) {
      heardAt = now;
    }
  }

  /** Between messages. */
  Duration interval() {
    if (direct) {
      return DIRECT_INTERVAL;
    }
    return own ? COLLECTED_INTERVAL : REPORT_INTERVAL;
  }
}
