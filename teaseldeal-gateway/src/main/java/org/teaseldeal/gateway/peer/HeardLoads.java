package org.teaseldeal.gateway.peer;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** What senders of one scope have told, each until its news is stale. */
final class HeardLoads {
  private static final class Sender {
    private final Map<Integer, LoadNews.ServerLoad> loads = new HashMap<>();
    private long sequence = Long.MIN_VALUE;
    private Instant at = Instant.MIN;
  }

  /** Bounds memory whatever is sent: more than a fleet has instances. */
  private static final int MOST_SENDERS = 2_048;

  private final Duration stale;
  private final Map<String, Sender> senders = new HashMap<>();

  /** Creates an empty set of news, of which none older than {@code stale} counts. */
  HeardLoads(Duration stale) {
    this.stale = stale;
  }

  /**
   * Takes in a message; returns false if a later one of its sender has come before it.
   *
   * <p>A process that starts again may count from below its predecessor where the clock was set
   * back, so what a silent sender said last doesn't bind it.
   */
  boolean hear(LoadNews news, Instant now) {
    makeRoom(now);
    Sender sender = senders.computeIfAbsent(news.sender(), name -> new Sender());
    boolean silent = isStale(sender, now);
    if (!silent && news.sequence() <= sender.sequence) {
      return false;
    }
    if (news.complete() || silent) {
      sender.loads.clear();
    }
    for (LoadNews.ServerLoad load : news.loads()) {
      if (load.running() == 0 && load.promptTokensAhead() == 0) {
        sender.loads.remove(load.server());
      } else {
        sender.loads.put(load.server(), load);
      }
    }
    sender.sequence = news.sequence();
    sender.at = now;
    return true;
  }

  /** Adds what all have told to {@code sums}. */
  void addTo(LoadSums sums, Instant now) {
    senders.values().stream()
        .filter(sender -> !isStale(sender, now))
        .forEach(sender -> sums.add(sender.loads.values()));
  }

  /** What one sender has told; nothing if it is stale. */
  Map<Integer, LoadNews.ServerLoad> of(String name, Instant now) {
    Sender sender = senders.get(name);
    return sender == null || isStale(sender, now) ? Map.of() : sender.loads;
  }

  /** When a sender was last heard; long ago if never. */
  Instant heardAt(String name) {
    Sender sender = senders.get(name);
    return sender == null ? Instant.MIN : sender.at;
  }

  /** The senders heard since {@code earliest}. */
  List<String> heardSince(Instant earliest) {
    List<String> names = new ArrayList<>();
    senders.forEach(
        (name, sender) -> {
          if (!sender.at.isBefore(earliest)) {
            names.add(name);
          }
        });
    return names;
  }

  private void makeRoom(Instant now) {
    if (senders.size() >= MOST_SENDERS) {
      senders.values().removeIf(sender -> isStale(sender, now));
    }
    if (senders.size() >= MOST_SENDERS) {
      senders.clear();
    }
  }

  private boolean isStale(Sender sender, Instant now) {
    return sender.at.isBefore(now.minus(stale));
  }
}
