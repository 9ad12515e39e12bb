package org.teaseldeal.model;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * The simulated network between named nodes. Instances have links of limited rate; the links of
 * other nodes add no transmission time.
 */
final class ModelNetwork {
  /** Messages and bytes that an instance has sent and received. */
  static final class Traffic {
    long messages;
    long bytes;
  }

  /** Size of the headers that each message adds on a link. */
  private static final int PACKET_HEADER_BYTES = 60;

  private final VirtualTime time;
  private final Scenario.Links links;
  private final RandomGenerator random;
  private final Map<String, Long> linkFreeAtNanos = new HashMap<>();
  private final Map<String, Traffic> traffic = new HashMap<>();
  private final Set<String> partitioned = new HashSet<>();
  private final Set<String> isolated = new HashSet<>();
  private final Map<String, Long> reconnectedAtNanos = new HashMap<>();

  ModelNetwork(VirtualTime time, Scenario.Links links, RandomGenerator random) {
    this.time = time;
    this.links = links;
    this.random = random;
  }

  /** Adds a link of limited rate for an instance. */
  void addLink(String name) {
    linkFreeAtNanos.put(name, 0L);
    traffic.put(name, new Traffic());
  }

  /** Partitions an instance from its peers and the log, or connects it again. */
  void setPartitioned(String instance, boolean partition) {
    if (partition) {
      partitioned.add(instance);
    } else {
      partitioned.remove(instance);
      reconnectedAtNanos.put(instance, time.elapsedNanos());
    }
  }

  /** Isolates an instance from its peers but not from the log, or connects it again. */
  void setIsolated(String instance, boolean isolate) {
    if (isolate) {
      isolated.add(instance);
    } else {
      isolated.remove(instance);
      reconnectedAtNanos.put(instance, time.elapsedNanos());
    }
  }

  /** Returns whether an instance has been connected to its peers for {@code span}. */
  boolean connectedFor(String instance, Duration span) {
    long since = reconnectedAtNanos.getOrDefault(instance, 0L);
    return !partitioned.contains(instance)
        && !isolated.contains(instance)
        && time.elapsedNanos() - since >= span.toNanos();
  }

  /** Returns whether messages pass between two nodes, each an instance or the log. */
  boolean isConnected(String from, String to) {
    boolean withLog = from.equals(ModelLog.NODE) || to.equals(ModelLog.NODE);
    boolean separated = !withLog && (isolated.contains(from) || isolated.contains(to));
    return !separated && !partitioned.contains(from) && !partitioned.contains(to);
  }

  /** Returns an instance's traffic with its peers and the log; backend servers don't count. */
  Traffic trafficOf(String instance) {
    return traffic.getOrDefault(instance, new Traffic());
  }

  /** Sends a datagram to another instance, which is lost with the scenario's probability. */
  void sendDatagram(String from, String to, int bytes, Runnable arrival) {
    if (random.nextDouble() >= links.loss()) {
      sendOnConnection(from, to, bytes, arrival);
    } else {
      countMessage(from, bytes);
    }
  }

  /**
   * Sends a message on a connection between an instance and a peer or the log. It is dropped if the
   * two aren't connected when it is sent or when it arrives.
   */
  void sendOnConnection(String from, String to, int bytes, Runnable arrival) {
    countMessage(from, bytes);
    if (!isConnected(from, to)) {
      return;
    }
    transmit(
        from,
        to,
        bytes,
        () -> {
          if (isConnected(from, to)) {
            countMessage(to, bytes);
            arrival.run();
          }
        });
  }

  private void countMessage(String node, int bytes) {
    Traffic counted = traffic.get(node);
    if (counted != null) {
      counted.messages++;
      counted.bytes += bytes;
    }
  }

  /** Transmits a message over the links of both nodes, without counting it as traffic. */
  void transmit(String from, String to, int bytes, Runnable arrival) {
    long nanos = links.delay().toNanos() + occupyLink(from, bytes) + occupyLink(to, bytes);
    time.scheduleNanos(nanos, arrival);
  }

  /** Returns the nanoseconds until a link has transmitted a message and those queued before it. */
  private long occupyLink(String node, int bytes) {
    Long freeAt = linkFreeAtNanos.get(node);
    if (freeAt == null) {
      return 0;
    }
    long now = time.elapsedNanos();
    long transmissionNanos =
        Math.round((bytes + PACKET_HEADER_BYTES) * 8 * 1_000 / links.rateMbit());
    long freeAfter = Math.max(now, freeAt) + transmissionNanos;
    linkFreeAtNanos.put(node, freeAfter);
    return freeAfter - now;
  }

  /** Returns the network delay in one direction. */
  Duration oneWayDelay() {
    return links.delay();
  }
}
