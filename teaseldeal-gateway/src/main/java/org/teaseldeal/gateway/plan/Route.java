package org.teaseldeal.gateway.plan;

import java.time.Duration;
import java.util.List;
import java.util.random.RandomGenerator;
import org.teaseldeal.api.Preconditions;

/**
 * Where the requests of one host and path prefix go, and what may be done with them.
 *
 * @param resumable whether a broken stream may go on at another backend server
 * @param keyless whether callers need no key
 * @param timeout the longest that a caller is kept waiting for its whole answer
 * @param aim until when the first part of an answer is on time
 * @param pauseAim the longest pause between parts of a stream that is on time
 * @param rank 0 is the most urgent
 * @param maxAttempts how many backend servers one attempt of a caller may be sent to
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
  /** Callers leave a stream after the longest of these, as they have said. */
  private static final Duration SHORTEST_SILENCE_BORNE = Duration.ofSeconds(2);

  private static final int AIMS_BORNE = 4;
  private static final int PAUSES_BORNE = 8;

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

  /** Whether a request that may have run may be sent again. */
  public boolean repeatable() {
    return switch (kind) {
      case IDEMPOTENT -> true;
      case AT_MOST_ONCE -> false;
      case STREAM -> resumable;
    };
  }

  /**
   * How long a caller waits for the next part of its answer before it leaves.
   *
   * @param patience until when it wants the whole answer
   */
  public Duration silenceBorne(Duration patience) {
    if (!kind.streamed()) {
      return patience;
    }
    Duration longest = SHORTEST_SILENCE_BORNE;
    for (Duration each :
        List.of(aim.multipliedBy(AIMS_BORNE), pauseAim.multipliedBy(PAUSES_BORNE))) {
      longest = each.compareTo(longest) > 0 ? each : longest;
    }
    return longest.compareTo(patience) < 0 ? longest : patience;
  }

  /** Draws a service in proportion to the weights. */
  public String drawService(RandomGenerator random) {
    if (services.size() == 1) {
      return services.getFirst().service();
    }
    int total = services.stream().mapToInt(WeightedService::weight).sum();
    int drawn = total <= 0 ? 0 : random.nextInt(total);
    for (WeightedService candidate : services) {
      drawn -= candidate.weight();
      if (drawn < 0) {
        return candidate.service();
      }
    }
    return services.getFirst().service();
  }
}
