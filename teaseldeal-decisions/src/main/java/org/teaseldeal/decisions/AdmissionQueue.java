package org.teaseldeal.decisions;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.teaseldeal.api.CustomerId;
import org.teaseldeal.api.Preconditions;

/**
 * The queue of requests that wait for a backend server of one pool.
 *
 * <p>In a burst, a few customers may send most of the requests. A queue without a bound would
 * answer all requests too late, and a FIFO queue would give all capacity to those few (hot)
 * customers. Therefore a request is queued only if its turn is likely to come before its deadline,
 * urgent priority classes go first, and within a class the customers take turns in proportion to
 * their weights. Turns are counted in work instead of requests, so that a customer with long
 * requests does not get more capacity than one with short requests.
 *
 * <p>The turns follow start-time fair queueing: a customer that was idle starts like the others,
 * with neither credit nor debt.
 *
 * @param <T> type of the queued items
 */
public final class AdmissionQueue<T> {
  /**
   * A queued request.
   *
   * @param item the request itself
   * @param customer the customer that sent it
   * @param weight the customer's share relative to the other customers'
   * @param rank its priority class; lower ranks go first
   * @param cost expected amount of work, in any unit that all requests of the pool share
   * @param deadline time after which the request must not start any more
   * @param since when the request was queued
   */
  public record Entry<T>(
      T item,
      CustomerId customer,
      int weight,
      int rank,
      double cost,
      Instant deadline,
      Instant since) {
    public Entry {
      Preconditions.requirePositive(weight, "weight");
      Preconditions.require(cost > 0, "cost was %s, expected more than 0".formatted(cost));
    }

    /** Creates a request of cost 1. */
    public Entry(
        T item, CustomerId customer, int weight, int rank, Instant deadline, Instant since) {
      this(item, customer, weight, rank, 1, deadline, since);
    }
  }

  /** The result of offering a request to the queue. */
  public sealed interface Verdict {
    /** The request has been queued. */
    record Queued() implements Verdict {}

    /**
     * The request was not queued because it would be served too late. The queue is expected to be
     * short after {@code retryAfter}.
     */
    record TooLate(Duration retryAfter) implements Verdict {}
  }

  /**
   * One in this many starts is given to a lower priority class, which more urgent ones would
   * otherwise starve. At 5 % the urgent class loses less than the variation of its own waits, and
   * batch work still ends within twenty times its own duration instead of never.
   */
  private static final int STARTS_PER_LOWER_CLASS_START = 20;

  private static final CustomerId SINGLE_LANE_CUSTOMER = CustomerId.parse("all/all");

  private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(200);

  private static final class Node<T> {
    private final Entry<T> entry;
    private boolean removed;

    Node(Entry<T> entry) {
      this.entry = entry;
    }
  }

  /** The queued requests of one customer in one priority class, in order of arrival. */
  private static final class Lane<T> {
    private final Deque<Node<T>> nodes = new ArrayDeque<>();
    private int size;
    private int weight = 1;
    private double finishTag;
  }

  /** The queued requests of one priority class. */
  private static final class PriorityClass<T> {
    private final TreeMap<CustomerId, Lane<T>> lanes = new TreeMap<>();
    private double virtualTime;
    private int size;
    private int timesPassedOver;
  }

  private final TreeMap<Integer, PriorityClass<T>> priorityClasses = new TreeMap<>();
  private final Map<T, Node<T>> nodes = new HashMap<>();
  private final PriorityQueue<Node<T>> byDeadline =
      new PriorityQueue<>(Comparator.comparing((Node<T> node) -> node.entry.deadline()));

  private final QueueRule rule;

  /** Creates a fair queue. */
  public AdmissionQueue() {
    this(QueueRule.FAIR);
  }

  /** Creates a queue with the given rule. */
  public AdmissionQueue(QueueRule rule) {
    this.rule = rule;
  }

  /**
   * Queues a request or rejects it immediately.
   *
   * @param drainPerSecond number of the pool's requests that this instance can start per second;
   *     see {@link DrainRate}
   */
  public Verdict offer(Entry<T> request, double drainPerSecond, Instant now) {
    if (rule == QueueRule.UNBOUNDED) {
      add(withoutCustomer(request));
      return new Verdict.Queued();
    }
    Duration expected = expectedWait(request, drainPerSecond);
    if (now.plus(expected).isAfter(request.deadline())) {
      return new Verdict.TooLate(
          expected.compareTo(MIN_RETRY_AFTER) < 0 ? MIN_RETRY_AFTER : expected);
    }
    add(request);
    return new Verdict.Queued();
  }

  private static <T> Entry<T> withoutCustomer(Entry<T> request) {
    return new Entry<>(
        request.item(), SINGLE_LANE_CUSTOMER, 1, 0, request.deadline(), request.since());
  }

  /** Removes and returns the request whose turn it is. */
  public Optional<Entry<T>> poll() {
    PriorityClass<T> priorityClass = nextClass();
    if (priorityClass == null) {
      return Optional.empty();
    }
    Lane<T> lane =
        priorityClass.lanes.values().stream()
            .filter(candidate -> candidate.size > 0)
            .min(Comparator.comparingDouble(candidate -> startTag(priorityClass, candidate)))
            .orElseThrow();
    Node<T> node = removeFirstQueued(lane);
    priorityClass.virtualTime = startTag(priorityClass, lane);
    lane.finishTag = priorityClass.virtualTime + node.entry.cost() / node.entry.weight();
    unlink(node);
    return Optional.of(node.entry);
  }

  /** Removes and returns one request whose deadline has passed. */
  public Optional<Entry<T>> pollExpired(Instant now) {
    while (!byDeadline.isEmpty()) {
      Node<T> node = byDeadline.peek();
      if (!node.removed && now.isBefore(node.entry.deadline())) {
        return Optional.empty();
      }
      byDeadline.remove();
      if (!node.removed) {
        unlink(node);
        return Optional.of(node.entry);
      }
    }
    return Optional.empty();
  }

  /** Removes a request whose caller has disconnected; returns whether it was queued. */
  public boolean remove(T item) {
    Node<T> node = nodes.get(item);
    if (node == null) {
      return false;
    }
    unlink(node);
    return true;
  }

  /** Returns the number of queued requests. */
  public int size() {
    return nodes.size();
  }

  /**
   * Returns how long a request would wait.
   *
   * <p>A customer waits for its own lane at its own share, and never longer than for all queued
   * requests. Counting all queued requests would reject a light customer because of a hot
   * customer's backlog.
   */
  private Duration expectedWait(Entry<T> request, double drainPerSecond) {
    int aheadByRank =
        priorityClasses.headMap(request.rank()).values().stream()
            .mapToInt(priorityClass -> priorityClass.size)
            .sum();
    PriorityClass<T> priorityClass = priorityClasses.get(request.rank());
    double ahead = aheadByRank + (priorityClass == null ? 0 : aheadInClass(priorityClass, request));
    double rate = Math.max(drainPerSecond, 0.1);
    return Duration.ofMillis((long) (1000 * ahead / rate));
  }

  private double aheadInClass(PriorityClass<T> priorityClass, Entry<T> request) {
    Lane<T> own = priorityClass.lanes.get(request.customer());
    int ownSize = own == null ? 0 : own.size;
    double otherWeights =
        priorityClass.lanes.entrySet().stream()
            .filter(entry -> entry.getValue().size > 0)
            .filter(entry -> !entry.getKey().equals(request.customer()))
            .mapToDouble(entry -> entry.getValue().weight)
            .sum();
    double atOwnShare = (ownSize + 1) * (otherWeights + request.weight()) / request.weight() - 1;
    return Math.min(priorityClass.size, atOwnShare);
  }

  private void add(Entry<T> request) {
    PriorityClass<T> priorityClass =
        priorityClasses.computeIfAbsent(request.rank(), rank -> new PriorityClass<>());
    Lane<T> lane =
        priorityClass.lanes.computeIfAbsent(request.customer(), customer -> new Lane<>());
    Node<T> node = new Node<>(request);
    Preconditions.require(
        nodes.put(request.item(), node) == null,
        "item %s is already queued, expected one that is not".formatted(request.item()));
    lane.weight = request.weight();
    lane.nodes.addLast(node);
    lane.size++;
    priorityClass.size++;
    byDeadline.add(node);
  }

  private @Nullable PriorityClass<T> nextClass() {
    PriorityClass<T> chosen = null;
    for (PriorityClass<T> priorityClass : priorityClasses.values()) {
      if (priorityClass.size == 0) {
        continue;
      }
      if (chosen == null) {
        chosen = priorityClass;
      } else if (++priorityClass.timesPassedOver >= STARTS_PER_LOWER_CLASS_START - 1) {
        chosen = priorityClass;
        break;
      }
    }
    if (chosen != null) {
      chosen.timesPassedOver = 0;
    }
    return chosen;
  }

  private static <T> double startTag(PriorityClass<T> priorityClass, Lane<T> lane) {
    return Math.max(priorityClass.virtualTime, lane.finishTag);
  }

  private static <T> Node<T> removeFirstQueued(Lane<T> lane) {
    Node<T> node = lane.nodes.removeFirst();
    while (node.removed) {
      node = lane.nodes.removeFirst();
    }
    return node;
  }

  private void unlink(Node<T> node) {
    node.removed = true;
    nodes.remove(node.entry.item());
    PriorityClass<T> priorityClass = priorityClasses.get(node.entry.rank());
    Lane<T> lane = priorityClass == null ? null : priorityClass.lanes.get(node.entry.customer());
    if (priorityClass == null || lane == null) {
      return;
    }
    priorityClass.size--;
    lane.size--;
    if (lane.size == 0) {
      lane.nodes.clear();
      dropIfIdle(priorityClass, node.entry.customer(), lane);
    }
  }

  /**
   * Drops an empty lane without debt, which is equivalent to no lane; keeping it would make the
   * memory use grow with the number of customers.
   */
  private static <T> void dropIfIdle(
      PriorityClass<T> priorityClass, CustomerId customer, Lane<T> lane) {
    if (lane.finishTag <= priorityClass.virtualTime) {
      priorityClass.lanes.remove(customer);
    }
  }
}
