package org.teaseldeal.model;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;

/** Carries messages between named nodes; instances have links with a rate, all others are fast. */
final class ModelNetwork {
  /** What an instance has exchanged. */
  static final class Traffic {
    long messages;
    long octets;
  }

  /** Octets of a packet's headers. */
  private static final int HEADERS = 60;

  private final VirtualTime time;
  private final Scenario.Links links;
  private final RandomGenerator random;
  private final Map<String, Long> linkFreeAt = new HashMap<>();
  private final Map<String, Traffic> control = new HashMap<>();
  private final Set<String> cut = new HashSet<>();
  private final Set<String> isolated = new HashSet<>();

  ModelNetwork(VirtualTime time, Scenario.Links links, RandomGenerator random) {
    this.time = time;
    this.links = links;
    this.random = random;
  }

  /** Gives an instance a link. */
  void addInstance(String name) {
    linkFreeAt.put(name, 0L);
    control.put(name, new Traffic());
  }

  /** Cuts an instance off from the other instances and the log, or connects it again. */
  void cut(String instance, boolean off) {
    if (off) {
      cut.add(instance);
    } else {
      cut.remove(instance);
    }
  }

  /** Cuts an instance off from the other instances only, or connects it again. */
  void isolate(String instance, boolean off) {
    if (off) {
      isolated.add(instance);
    } else {
      isolated.remove(instance);
    }
  }

  /** Whether an instance reaches another one, or the log. */
  boolean connected(String from, String to) {
    boolean withLog = from.equals(ModelLog.NODE) || to.equals(ModelLog.NODE);
    boolean apart = !withLog && (isolated.contains(from) || isolated.contains(to));
    return !apart && !cut.contains(from) && !cut.contains(to);
  }

  /** What an instance has exchanged with other instances and the log. */
  Traffic control(String instance) {
    return control.getOrDefault(instance, new Traffic());
  }

  /** A message to another instance that may be lost. */
  void datagram(String from, String to, int octets, Runnable arrival) {
    if (random.nextDouble() >= links.loss()) {
      control(from, to, octets, arrival);
    } else {
      count(from, octets);
    }
  }

  /** A message of a connection between an instance and another one, or the log. */
  void control(String from, String to, int octets, Runnable arrival) {
    count(from, octets);
    if (!connected(from, to)) {
      return;
    }
    carry(
        from,
        to,
        octets,
        () -> {
          if (connected(from, to)) {
            count(to, octets);
            arrival.run();
          }
        });
  }

  private void count(String node, int octets) {
    Traffic traffic = control.get(node);
    if (traffic != null) {
      traffic.messages++;
      traffic.octets += octets;
    }
  }

  /** Carries a message between an instance and a backend server. */
  void carry(String from, String to, int octets, Runnable arrival) {
    long nanos = links.delay().toNanos() + onLink(from, octets) + onLink(to, octets);
    time.afterNanos(nanos, arrival);
  }

  /** The time until a link has carried a message behind those before it. */
  private long onLink(String node, int octets) {
    Long free = linkFreeAt.get(node);
    if (free == null) {
      return 0;
    }
    long now = time.nanos();
    long takes = Math.round((octets + HEADERS) * 8 * 1_000 / links.rateMbit());
    long done = Math.max(now, free) + takes;
    linkFreeAt.put(node, done);
    return done - now;
  }

  /** The delay of one way. */
  Duration delay() {
    return links.delay();
  }
}
