package org.teaseldeal.gateway.plan;

import java.time.Duration;
import java.util.List;
import java.util.random.RandomGenerator;
import org.teaseldeal.api.Durations;
import org.teaseldeal.api.Preconditions;

/**
 * Defines where the requests of one host and path prefix are sent and how they are treated.
 *
 * @param name name of the route
 * @param host host name that the requests are addressed to
 * @param pathPrefix beginning of the requests' path; begins and ends with a slash
 * @param kind whether requests may be repeated, and how they are answered
 * @param resumable whether a broken stream may be resumed at another backend server
 * @param keyless whether callers need no key
 * @param timeout longest time for which a caller waits for its whole answer
 * @param aim time within which the first part of an answer counts as on time
 * @param pauseAim longest pause between two parts of a stream that counts as on time
 * @param rank priority; 0 is the most urgent
 * @param maxAttempts number of backend servers to which one attempt of a caller may be sent
 * @param services services that get the requests, with their weights
 */
public record Route(
    String name,
    String host,
    String pathPrefix,
    RouteKind kind,
    boolean resumable,
    boolean keyless,
    Duration timeout,
    Duration aim,
    Duration pauseAim,
    int rank,
    int maxAttempts,
    List<WeightedService> services) {
  /**
   * Callers abandon a stream after the longest of this time and the two multiples below, as agreed
   * with them.
   */
  private static final Duration MIN_SILENCE_TIMEOUT = Duration.ofSeconds(2);

  private static final int AIM_FACTOR = 4;
  private static final int PAUSE_FACTOR = 8;

  public Route {
    Preconditions.requireText(name, "route name");
    Preconditions.require(
        pathPrefix.startsWith("/") && pathPrefix.endsWith("/"),
        "path prefix was '%s', expected one that begins and ends with a slash"
            .formatted(pathPrefix));
    Preconditions.requirePositive(timeout.toMillis(), "timeout of route " + name);
    Preconditions.requirePositive(maxAttempts, "max attempts of route " + name);
    Preconditions.require(
        !services.isEmpty(), "services of route %s were none, expected one".formatted(name));
    services = List.copyOf(services);
  }

  /** Returns this route with another number of servers to which an attempt may be sent. */
  public Route withMaxAttempts(int attempts) {
    return attempts == maxAttempts
        ? this
        : new Route(
            name,
            host,
            pathPrefix,
            kind,
            resumable,
            keyless,
            timeout,
            aim,
            pauseAim,
            rank,
            attempts,
            services);
  }

  /** Returns whether a request that may have run may be sent again. */
  public boolean repeatable() {
    return switch (kind) {
      case IDEMPOTENT -> true;
      case AT_MOST_ONCE -> false;
      case STREAM -> resumable;
    };
  }

  /**
   * Returns how long a caller waits for the next part of its answer before it disconnects.
   *
   * @param answerTimeout how long it waits for the whole answer
   */
  public Duration silenceTimeout(Duration answerTimeout) {
    if (!kind.streamed()) {
      return answerTimeout;
    }
    Duration longest = MIN_SILENCE_TIMEOUT;
    for (Duration each :
        List.of(Durations.times(aim, AIM_FACTOR), Durations.times(pauseAim, PAUSE_FACTOR))) {
      longest = each.compareTo(longest) > 0 ? each : longest;
    }
    return longest.compareTo(answerTimeout) < 0 ? longest : answerTimeout;
  }

  private static long drawBelow(long bound, RandomGenerator random) {
    return bound <= Integer.MAX_VALUE ? random.nextInt((int) bound) : random.nextLong(bound);
  }

  /** Chooses a service at random in proportion to the weights. */
  public String drawService(RandomGenerator random) {
    if (services.size() == 1) {
      return services.getFirst().service();
    }
    long total = services.stream().mapToLong(WeightedService::weight).sum();
    long drawn = total <= 0 ? 0 : drawBelow(total, random);
    for (WeightedService candidate : services) {
      drawn -= candidate.weight();
      if (drawn < 0) {
        return candidate.service();
      }
    }
    return services.getFirst().service();
  }
}
