package org.teaseldeal.router.platform;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.teaseldeal.cli.log.LogLine;
import org.teaseldeal.net.HttpAnswer;
import org.teaseldeal.net.HttpCallRequest;
import org.teaseldeal.net.HttpClient;
import org.teaseldeal.net.SharedEventLoops;
import org.teaseldeal.router.json.Json;

/**
 * Keeps this instance registered on the platform's instance list by renewing its entry.
 *
 * <p>The instance works without a registration. If the platform can't be reached, the renewal is
 * retried at every interval.
 */
public final class Registration implements AutoCloseable {
  private static final Duration RENEWAL_INTERVAL = Duration.ofSeconds(1);
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(2);

  private final HttpClient client;
  private final String platform;
  private final String id;
  private final ObjectNode entry;
  private boolean closed;
  private boolean failing;

  /**
   * Creates a registration that {@link #start} sends.
   *
   * @param platform the {@code host:port} of the platform
   * @param id the name of this instance
   * @param entry the entry of this instance, without its state
   */
  public Registration(HttpClient client, String platform, String id, ObjectNode entry) {
    this.client = client;
    this.platform = platform;
    this.id = id;
    this.entry = entry.deepCopy().put("state", "live");
  }

  /** Registers now, and renews the registration at a fixed interval. */
  public synchronized void start() {
    if (closed) {
      return;
    }
    send("PUT", Json.bytes(entry))
        .whenComplete(
            (answer, failure) -> {
              recordOutcome(answer, failure);
              SharedEventLoops.eventLoopGroup()
                  .schedule(this::start, RENEWAL_INTERVAL.toNanos(), TimeUnit.NANOSECONDS);
            });
  }

  /** Announces on the list that this instance is leaving, with an immediate renewal. */
  public synchronized void announceLeaving() {
    if (!closed) {
      entry.put("state", "leaving");
      var unused = send("PUT", Json.bytes(entry));
    }
  }

  /** Removes this instance from the list; the returned future fails if the call does. */
  public synchronized CompletableFuture<HttpAnswer> remove() {
    closed = true;
    return send("DELETE", new byte[0]);
  }

  @Override
  public synchronized void close() {
    closed = true;
  }

  private CompletableFuture<HttpAnswer> send(String method, byte[] body) {
    return client.fetch(
        new HttpCallRequest(
            platform,
            method,
            "/instances/" + id,
            Map.of("Content-Type", "application/json"),
            body,
            REQUEST_TIMEOUT));
  }

  private synchronized void recordOutcome(
      @Nullable HttpAnswer answer, @Nullable Throwable failure) {
    boolean failed = answer == null || answer.status() != 200;
    if (failed && !failing) {
      LogLine.of("registration at the platform failed; it will be retried")
          .with("cause", answer == null ? String.valueOf(failure) : answer.status())
          .warn();
    }
    failing = failed;
  }
}
