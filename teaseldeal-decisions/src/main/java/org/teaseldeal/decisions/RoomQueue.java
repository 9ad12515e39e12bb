package org.teaseldeal.decisions;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.teaseldeal.api.Preconditions;

/**
 * The requests that wait at an instance until a server of their service has room.
 *
 * <p>In a burst one customer may send most of the requests, and the requests of several ranks
 * compete for the same few slots. A request is queued only if its turn comes early enough to be
 * served before its deadline; otherwise its caller is told at once. The most urgent rank goes
 * first, within a rank the customers take turns, and of a customer's requests that with the least
 * time left goes first.
 *
 * @param <T> type of the queued items
 */
public final class RoomQueue<T> {
  /**
   * A request.
   *
   * @param rank its priority; 0 is the most urgent
   * @param latestStart time after which it would be answered too late
   */
  public record Entry<T>(T item, String customer, int rank, Instant latestStart) {}

  /** The shortest delay that is worth suggesting to a caller. */
  private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(50);

  private static final double MIN_STARTS_PER_SECOND = 0.1;

  private final Map<T, Entry<T>> entries = new LinkedHashMap<>();

  /** The turns that each customer has had since the queue was last empty. */
  private final Map<String, Double> turns = new HashMap<>();

  private double latestTurn;

  /**
   * Queues a request.
   *
   * @param startsPerSecond number of requests that this instance can start in a second
   * @return empty if it was queued; otherwise the time after which the queue is short enough
   */
  public Optional<Duration> offer(Entry<T> request, double startsPerSecond, Instant now) {
    Preconditions.require(
        !entries.containsKey(request.item()),
        "item %s is already queued, expected one that is not".formatted(request.item()));
    Duration wait = wait(ahead(request) + 1, startsPerSecond);
    if (now.plus(wait).isAfter(request.latestStart())) {
      return Optional.of(wait.compareTo(MIN_RETRY_AFTER) < 0 ? MIN_RETRY_AFTER : wait);
    }
    entries.put(request.item(), request);
    turns.merge(request.customer(), latestTurn, Math::max);
    return Optional.empty();
  }

  /** Returns the request whose turn it is, without removing it. */
  public Optional<T> peek() {
    return entries.values().stream()
        .min(
            Comparator.<Entry<T>>comparingInt(Entry::rank)
                .thenComparingDouble(entry -> turn(entry.customer()))
                .thenComparing(Entry::latestStart))
        .map(Entry::item);
  }

  /** Removes a request that was sent, so that its customer has had a turn. */
  public void onSent(T item) {
    Entry<T> sent =
        Objects.requireNonNull(entries.get(item), "the item is not queued, expected one that is");
    latestTurn = turn(sent.customer());
    turns.values().removeIf(turn -> turn < latestTurn);
    turns.put(sent.customer(), latestTurn + 1);
    remove(item);
  }

  /** Removes a request that has ended; returns whether it was queued. */
  public boolean remove(T item) {
    boolean queued = entries.remove(item) != null;
    if (entries.isEmpty()) {
      turns.clear();
      latestTurn = 0;
    }
    return queued;
  }

  /** Returns the requests that can't be served in time any more. */
  public List<T> overdue(Instant now) {
    return entries.values().stream()
        .filter(entry -> now.isAfter(entry.latestStart()))
        .map(Entry::item)
        .toList();
  }

  /** Returns the number of queued requests. */
  public int size() {
    return entries.size();
  }

  /**
   * Returns the number of requests that go before a new one. A customer waits for the turns of the
   * others as often as for its own, and never for more than all queued requests.
   */
  private double ahead(Entry<T> request) {
    long moreUrgent =
        entries.values().stream().filter(each -> each.rank() < request.rank()).count();
    List<Entry<T>> sameRank =
        entries.values().stream().filter(each -> each.rank() == request.rank()).toList();
    long own =
        sameRank.stream()
            .filter(each -> each.customer().equals(request.customer()))
            .filter(each -> !each.latestStart().isAfter(request.latestStart()))
            .count();
    long others =
        sameRank.stream()
            .map(Entry::customer)
            .filter(customer -> !customer.equals(request.customer()))
            .distinct()
            .count();
    return moreUrgent + Math.min(sameRank.size(), (own + 1) * (others + 1) - 1);
  }

  private double turn(String customer) {
    return turns.getOrDefault(customer, latestTurn);
  }

  private static Duration wait(double starts, double startsPerSecond) {
    return Duration.ofMillis(
        (long) (1000 * starts / Math.max(startsPerSecond, MIN_STARTS_PER_SECOND)));
  }
}
