package org.teaseldeal.gateway.quarantine;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.function.Predicate;
import org.teaseldeal.gateway.server.ServerIncarnation;

/**
 * Lost connections that may be due to a crash of their server.
 *
 * <p>A broken connection alone doesn't prove a crash, as an answer may have been lost in the
 * network. The proof arrives within some seconds or not at all.
 *
 * @param <T> what ran on the connection
 */
final class PendingCrashes<T> {
  /** A crashed server refuses connections or is removed from the list within this time. */
  private static final Duration PROOF_TIMEOUT = Duration.ofSeconds(6);

  /** Limits memory use when many servers crash at once; some thirty requests run at each server. */
  private static final int MAX_TRACKED = 2_000;

  /** A lost connection. */
  record Lost<T>(T subject, ServerIncarnation server, Instant at) {}

  private final List<Lost<T>> lost = new ArrayList<>();

  boolean isEmpty() {
    return lost.isEmpty();
  }

  /** Records a lost connection. */
  void add(T subject, ServerIncarnation server, Instant now) {
    if (lost.size() < MAX_TRACKED) {
      lost.add(new Lost<>(subject, server, now));
    }
  }

  /** Returns whether any connection that was lost concerns a subject. */
  boolean contains(Predicate<T> subject) {
    return lost.stream().anyMatch(each -> subject.test(each.subject()));
  }

  /** Removes and returns the connections whose servers are proved to have crashed. */
  List<Lost<T>> takeCrashed(Predicate<ServerIncarnation> crashed) {
    List<Lost<T>> proved = new ArrayList<>();
    Iterator<Lost<T>> each = lost.iterator();
    while (each.hasNext()) {
      Lost<T> next = each.next();
      if (crashed.test(next.server())) {
        each.remove();
        proved.add(next);
      }
    }
    return proved;
  }

  /** Drops the connections for which no proof has arrived in time. */
  void expire(Instant now) {
    lost.removeIf(each -> each.at().plus(PROOF_TIMEOUT).isBefore(now));
  }
}
