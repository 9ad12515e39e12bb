package org.teaseldeal.gateway.flow;

import java.time.Duration;
import java.time.Instant;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.teaseldeal.gateway.event.GatewayEvent;
import org.teaseldeal.gateway.stream.StreamKey;
import org.teaseldeal.gateway.stream.StreamOrigins;

/**
 * The stream that a request begins or takes up, and the software version at which it goes on.
 *
 * <p>What servers of two versions write doesn't fit together. The version is that of the server
 * whose first event was handed to the caller, in this answer or in that of an earlier attempt.
 */
final class CallerStream {
  /** Why a stream doesn't go on. The name appears in logs and metrics. */
  enum Obstacle {
    /** No instance knows at which version the stream began. */
    UNKNOWN_STREAM,
    /** The caller didn't name the attempt that brought the first event. */
    ATTEMPT_NOT_NAMED,
    /** No server of the version is left. */
    NO_SERVER_OF_VERSION
  }

  /** Whether the version of a stream that the caller takes up is known. */
  sealed interface Resolution {
    /** The stream goes on at {@code version}. */
    record Known(String version) implements Resolution {}

    /**
     * The stream can't go on.
     *
     * @param mayChange whether another attempt of the caller may succeed
     */
    record Refused(String detail, boolean mayChange) implements Resolution {}
  }

  private final GatewayComponents components;
  private final CallerRequest request;
  private final String customer;
  private final String service;
  private @Nullable String version;
  private Instant resolvingSince = Instant.MAX;

  /**
   * Creates the stream of a request.
   *
   * @param customer the customer's name; empty if the request needs no key
   */
  CallerStream(
      GatewayComponents components, CallerRequest request, String customer, String service) {
    this.components = components;
    this.request = request;
    this.customer = customer;
    this.service = service;
  }

  /** The version at which the stream goes on; empty if it hasn't begun. */
  Optional<String> version() {
    return Optional.ofNullable(version);
  }

  /** The attempt whose stream the caller takes up; empty if it begins a stream or names none. */
  String resumedAttempt() {
    return request.resumption().flatMap(Resumption::firstAttempt).orElse("");
  }

  /** The last event of an earlier attempt that the caller has; empty if it gave none. */
  String lastEventBefore() {
    return request.resumption().flatMap(Resumption::lastEventId).orElse("");
  }

  /**
   * Determines at which version the stream began that the caller takes up; {@code result} is called
   * exactly once. A stream of an unknown version is refused.
   */
  void resolve(Consumer<Resolution> result) {
    resolvingSince = components.clock().instant();
    StreamOrigins origins = components.streamOrigins();
    if (!resumedAttempt().isEmpty()) {
      origins.resolve(key(resumedAttempt()), service, found -> result.accept(resolution(found)));
      return;
    }
    origins.resolveUnnamed(service, found -> result.accept(unnamedResolution(found)));
  }

  private Resolution unnamedResolution(StreamOrigins.Resolution found) {
    return switch (found) {
      case StreamOrigins.Resolution.Known known -> known(known.version(), known.source());
      case StreamOrigins.Resolution.Unknown unknown ->
          refused(
              Obstacle.ATTEMPT_NOT_NAMED,
              "the attempt that brought the first event isn't named",
              false);
    };
  }

  private Resolution resolution(StreamOrigins.Resolution found) {
    return switch (found) {
      case StreamOrigins.Resolution.Known known -> known(known.version(), known.source());
      case StreamOrigins.Resolution.Unknown unknown ->
          refused(
              Obstacle.UNKNOWN_STREAM,
              "no instance knows the stream, %d did not answer".formatted(unknown.unreachable()),
              unknown.unreachable() > 0);
    };
  }

  private Resolution known(String foundVersion, StreamOrigins.Source source) {
    version = foundVersion;
    components
        .events()
        .accept(
            new GatewayEvent.StreamTakenUp(
                request.id(),
                resumedAttempt(),
                lastEventBefore(),
                foundVersion,
                source.name(),
                Duration.between(resolvingSince, components.clock().instant())));
    return new Resolution.Known(foundVersion);
  }

  private Resolution refused(Obstacle obstacle, String detail, boolean mayChange) {
    reportObstacle(obstacle);
    return new Resolution.Refused(detail, mayChange);
  }

  /** Logs why the stream doesn't go on. */
  void reportObstacle(Obstacle obstacle) {
    components
        .events()
        .accept(
            new GatewayEvent.StreamNotResumed(
                request.id(),
                service,
                resumedAttempt(),
                version().orElse(""),
                obstacle.name().toLowerCase(Locale.ROOT)));
  }

  /**
   * Records the version of the server whose first event of this answer is about to be sent to the
   * caller.
   *
   * @param resumable whether the caller may take the stream up at another instance
   */
  void onFirstEvent(String serverVersion, boolean resumable) {
    version = serverVersion;
    if (!resumable) {
      return;
    }
    components.streamOrigins().onBegun(key(request.id()), serverVersion);
    if (!resumedAttempt().isEmpty()) {
      // The caller's next attempt names the one that began the stream, which may be about to be
      // forgotten.
      components.streamOrigins().onBegun(key(resumedAttempt()), serverVersion);
    }
  }

  private StreamKey key(String attemptId) {
    return StreamKey.of(customer, service, attemptId);
  }
}
