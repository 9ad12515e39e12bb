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
  private static final Duration SILENCE_TIMEOUT = Duration.ofMillis(300);

  private final String instance;
  private final Supplier<Set<String>> fleet;
  private Set<String> knownFleet = Set.of();
  private List<String> preferenceOrder = List.of();
  private boolean isCollector = true;
  private boolean allCollect = true;
  private String collector = "";
  private Instant lastReceivedAt = Instant.MIN;

  LoadCollectors(String instance, Supplier<Set<String>> fleet) {
    this.instance = instance;
    this.fleet = fleet;
  }

  /** Takes changes of the fleet into account, and switches from a silent collector to the next. */
  void update(Instant now) {
    Set<String> present = fleet.get();
    if (present != knownFleet) {
      knownFleet = present;
      Set<String> collecting = LoadCollectorChoice.collectors(present);
      isCollector = collecting.contains(instance) || collecting.isEmpty();
      allCollect = collecting.size() == present.size();
      preferenceOrder =
          LoadCollectorChoice.preferenceOrder(instance, collecting).stream()
              .filter(name -> !name.equals(instance))
              .toList();
    }
    if (isCollector || preferenceOrder.isEmpty()) {
      return;
    }
    if (!preferenceOrder.contains(collector)) {
      switchTo(preferenceOrder.getFirst(), now);
    } else if (lastReceivedAt.plus(SILENCE_TIMEOUT).isBefore(now)) {
      switchTo(
          preferenceOrder.get((preferenceOrder.indexOf(collector) + 1) % preferenceOrder.size()),
          now);
    }
  }

  private void switchTo(String name, Instant now) {
    collector = name;
    lastReceivedAt = now;
  }

  /** Whether this instance is a collector. */
  boolean isCollector() {
    return isCollector;
  }

  /** The other collectors, in this instance's order of preference. */
  List<String> otherCollectors() {
    return preferenceOrder;
  }

  /** The collector that this instance reports to; not used if it is a collector itself. */
  String collector() {
    return collector;
  }

  /** Records the arrival of a message with the loads of all other instances. */
  void onReceived(String sender, Instant now) {
    if (sender.equals(collector)) {
      lastReceivedAt = now;
    }
  }

  /** The interval between two messages of this instance. */
  Duration interval() {
    if (allCollect) {
      return DIRECT_INTERVAL;
    }
    return isCollector ? COLLECTED_INTERVAL : REPORT_INTERVAL;
  }
}
