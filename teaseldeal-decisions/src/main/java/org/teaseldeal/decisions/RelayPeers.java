package org.teaseldeal.decisions;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.teaseldeal.api.Durations;

/**
 * Chooses the instance through which a request is sent to a backend server that this instance can't
 * reach.
 *
 * <p>A partition often hits several instances, and the list of instances contains some that are
 * gone. So an instance that relayed recently is preferred, and one that failed is not asked for a
 * while. Among equals the choice is random, so that a partitioned data centre doesn't overload a
 * single instance.
 */
public final class RelayPeers {
  /** How long an instance that has relayed a request is preferred. */
  private static final Duration PROVEN_FOR = Duration.ofSeconds(5);

  private static final Duration FIRST_BACK_OFF = Duration.ofMillis(500);
  private static final Duration MAX_BACK_OFF = Duration.ofSeconds(4);

  private static final class Peer {
    private Instant provenUntil = Instant.MIN;
    private Instant avoidedUntil = Instant.MIN;
    private Duration backOff = FIRST_BACK_OFF;
  }

  private final RandomGenerator random;
  private final Map<String, Peer> peers = new HashMap<>();

  /** Creates a choice that draws from {@code random}. */
  public RelayPeers(RandomGenerator random) {
    this.random = random;
  }

  /**
   * Chooses one of {@code addresses}.
   *
   * @param tried the instances that have already refused this request
   * @return empty if each one was tried or failed recently
   */
  public Optional<String> choose(List<String> addresses, Set<String> tried, Instant now) {
    List<String> usable = usable(addresses, tried, now);
    List<String> proven =
        usable.stream().filter(address -> now.isBefore(peer(address).provenUntil)).toList();
    List<String> candidates = proven.isEmpty() ? usable : proven;
    return candidates.isEmpty()
        ? Optional.empty()
        : Optional.of(candidates.get(random.nextInt(candidates.size())));
  }

  /** Chooses any instance that has not failed recently, to find out whether it can relay. */
  public Optional<String> chooseToTest(List<String> addresses, Instant now) {
    List<String> usable = usable(addresses, Set.of(), now);
    return usable.isEmpty()
        ? Optional.empty()
        : Optional.of(usable.get(random.nextInt(usable.size())));
  }

  /** Returns whether {@link #choose} would find an instance. */
  public boolean hasUsable(List<String> addresses, Instant now) {
    return addresses.stream().anyMatch(address -> !now.isBefore(peer(address).avoidedUntil));
  }

  /** Records that an instance has passed on a request or an answer. */
  public void onRelayed(String address, Instant now) {
    Peer peer = peer(address);
    peer.provenUntil = now.plus(PROVEN_FOR);
    peer.avoidedUntil = Instant.MIN;
    peer.backOff = FIRST_BACK_OFF;
  }

  /** Records that an instance could not be reached or refused to relay. */
  public void onFailed(String address, Instant now) {
    Peer peer = peer(address);
    peer.provenUntil = Instant.MIN;
    peer.avoidedUntil = now.plus(peer.backOff);
    Duration doubled = Durations.times(peer.backOff, 2);
    peer.backOff = doubled.compareTo(MAX_BACK_OFF) > 0 ? MAX_BACK_OFF : doubled;
  }

  private List<String> usable(List<String> addresses, Set<String> tried, Instant now) {
    return addresses.stream()
        .filter(address -> !tried.contains(address))
        .filter(address -> !now.isBefore(peer(address).avoidedUntil))
        .toList();
  }

  private Peer peer(String address) {
    return peers.computeIfAbsent(address, created -> new Peer());
  }
}
