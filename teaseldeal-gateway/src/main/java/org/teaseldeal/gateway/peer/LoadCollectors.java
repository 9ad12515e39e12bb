package org.teaseldeal.gateway.peer;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import org.teaseldeal.decisions.LoadCollectorChoice;

/**
 * The load collectors of the fleet, and the one that this instance reports to. The instance starts
 * with the first collector in its own order of preference and switches to the next one when a
 * collector becomes silent.
 */
final class LoadCollectors {
  /**
   * The interval of messages in a fleet in which every instance is a collector: about the time in
   * which an instance sends two prompts.
   */
  private static final Duration DIRECT_INTERVAL = Duration.ofMillis(100);

  /**
   * The interval of messages between collectors. It is shorter because the loads then pass more
   * hops until they reach an instance.
   */
  private static final Duration COLLECTED_INTERVAL = Duration.ofMillis(40);

  /** The interval of reports to a collector: every tick, as reports contain only changes. */
  private static final Duration REPORT_INTERVAL = Duration.ofMillis(20);

  /** The time of several consecutive messages, more than are lost by chance. */
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

  /** Takes changes of the fleet into account, and switches from a silent collector to the next. */
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

  /** Whether this instance is a collector. */
  boolean own() {
    return own;
  }

  /** The other collectors, in this instance's order of preference. */
  List<String> others() {
    return order;
  }

  /** The collector that this instance reports to; not used if it is a collector itself. */
  String collector() {
    return collector;
  }

  /** Records the arrival of a message with the loads of all other instances. */
  void heard(String sender, Instant now) {
    if (sender.equals(collector)) {
      heardAt = now;
    }
  }

  /** The interval between two messages of this instance. */
  Duration interval() {
    if (direct) {
      return DIRECT_INTERVAL;
    }
    return own ? COLLECTED_INTERVAL : REPORT_INTERVAL;
  }
}
