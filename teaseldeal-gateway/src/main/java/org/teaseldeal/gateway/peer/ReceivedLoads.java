package org.teaseldeal.gateway.peer;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The loads that other instances sent in messages of one scope, each until it becomes stale. */
final class ReceivedLoads {
  private static final class Sender {
    private final Map<Integer, LoadMessage.ServerLoad> loads = new HashMap<>();
    private long sequence = Long.MIN_VALUE;
    private Instant receivedAt = Instant.MIN;
  }

  /** Limits memory use whatever is received; more than the number of instances in a fleet. */
  private static final int MAX_SENDERS = 2_048;

  private final Duration maxAge;
  private final Map<String, Sender> senders = new HashMap<>();

  /** Creates an empty set of loads; those older than {@code maxAge} are ignored. */
  ReceivedLoads(Duration maxAge) {
    this.maxAge = maxAge;
  }

  /**
   * Adds the loads of a message. Returns false if a later message of its sender has arrived before
   * it, or if its sender is new and there are too many others.
   *
   * <p>The sequence number is not compared if the sender's last message is stale. A restarted
   * process may count from below its predecessor if its clock was set back.
   */
  boolean receive(LoadMessage message, Instant now) {
    if (!senders.containsKey(message.sender()) && isFull(now)) {
      return false;
    }
    Sender sender = senders.computeIfAbsent(message.sender(), name -> new Sender());
    boolean silent = isStale(sender, now);
    if (!silent && message.sequence() <= sender.sequence) {
      return false;
    }
    if (message.complete() || silent) {
      sender.loads.clear();
    }
    for (LoadMessage.ServerLoad load : message.loads()) {
      if (load.running() == 0 && load.promptTokensAhead() == 0) {
        sender.loads.remove(load.serverHash());
      } else {
        sender.loads.put(load.serverHash(), load);
      }
    }
    sender.sequence = message.sequence();
    sender.receivedAt = now;
    return true;
  }

  /** Adds the loads of all senders to {@code sums}. */
  void addTo(LoadSums sums, Instant now) {
    senders.values().stream()
        .filter(sender -> !isStale(sender, now))
        .forEach(sender -> sums.add(sender.loads.values()));
  }

  /** The loads that one sender sent; empty if they are stale. */
  Map<Integer, LoadMessage.ServerLoad> loadsOf(String name, Instant now) {
    Sender sender = senders.get(name);
    return sender == null || isStale(sender, now) ? Map.of() : sender.loads;
  }

  /** When the last message of a sender arrived; {@link Instant#MIN} if none did. */
  Instant lastReceivedAt(String name) {
    Sender sender = senders.get(name);
    return sender == null ? Instant.MIN : sender.receivedAt;
  }

  /** The names of the senders whose last message arrived at or after {@code earliest}. */
  List<String> sendersSince(Instant earliest) {
    List<String> names = new ArrayList<>();
    senders.forEach(
        (name, sender) -> {
          if (!sender.receivedAt.isBefore(earliest)) {
            names.add(name);
          }
        });
    return names;
  }

  /**
   * Returns whether no further sender can be added. If known senders were evicted for new ones,
   * forged messages could make the instance forget the loads of all others.
   */
  private boolean isFull(Instant now) {
    if (senders.size() >= MAX_SENDERS) {
      senders.values().removeIf(sender -> isStale(sender, now));
    }
    return senders.size() >= MAX_SENDERS;
  }

  private boolean isStale(Sender sender, Instant now) {
    return sender.receivedAt.isBefore(now.minus(maxAge));
  }
}
