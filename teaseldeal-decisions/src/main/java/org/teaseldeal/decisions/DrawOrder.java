package org.teaseldeal.decisions;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Decides when an instance asks its peers for idle tokens of a customer, and in which order.
 *
 * <p>All instances may be partitioned from the shared log at once and still reach each other. The
 * tokens that each may use immediately are fewer than one large request needs, because they are
 * lost in a loss of power, so most large requests would wait for seconds. Together the instances
 * have enough for all of them. Therefore an instance that lacks tokens obtains those that its peers
 * may use immediately.
 *
 * <p>Many instances may lack tokens of the same customer at the same moment. If all asked the peer
 * with the most tokens, all but the first would get none. Therefore the order is random, and peers
 * with more tokens are only more likely to be asked first.
 */
public final class DrawOrder {
  /**
   * How long a request waits before peers are asked. An available log grants a claim within a
   * fraction of this time.
   */
  public static final Duration FIRST_ROUND_DELAY = Duration.ofMillis(60);

  /**
   * Interval between rounds; the tokens that peers may use grow slowly while the log is
   * unavailable.
   */
  public static final Duration ROUND_INTERVAL = Duration.ofMillis(200);

  /** How long a request may wait for tokens of peers; a round ends well within this time. */
  public static final Duration MAX_ROUND_TIME = Duration.ofMillis(250);

  /** How long an unreachable peer is skipped: about the duration of a restart. */
  public static final Duration UNREACHABLE_SKIP_TIME = Duration.ofSeconds(2);

  /**
   * Maximum number of peers asked in a round. They answer one after the other, within a few
   * milliseconds in total.
   */
  private static final int MAX_PEERS_ASKED = 8;

  /** The position of a peer in the order; the one with the highest weight comes first. */
  private record RankedPeer(String instance, double weight) {}

  private DrawOrder() {}

  /**
   * Returns the peers to ask, one after the other.
   *
   * @param idle number of idle tokens that each peer has published; peers without any are left out
   */
  public static List<String> peersToAsk(Map<String, Long> idle, RandomGenerator random) {
    return idle.entrySet().stream()
        .filter(entry -> entry.getValue() > 0)
        .map(entry -> new RankedPeer(entry.getKey(), entry.getValue() * random.nextDouble()))
        .sorted(Comparator.comparingDouble(RankedPeer::weight).reversed())
        .limit(MAX_PEERS_ASKED)
        .map(RankedPeer::instance)
        .toList();
  }
}
