package org.teaseldeal.standin.registration;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.teaseldeal.net.HttpAnswer;
import org.teaseldeal.net.HttpCallRequest;
import org.teaseldeal.net.HttpClient;
import org.teaseldeal.standin.runtime.Cancellable;
import org.teaseldeal.standin.runtime.Json;
import org.teaseldeal.standin.runtime.Scheduler;
import org.teaseldeal.standin.settings.RegistrationSettings;

/**
 * Keeps a backend server registered in the platform's instance list until the server is removed.
 *
 * <p>If the platform can't be reached, the next renewal tries again; the server keeps serving
 * meanwhile.
 */
public final class Registration {
  private static final Logger LOGGER = LoggerFactory.getLogger(Registration.class);
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);

  private final HttpClient client;
  private final Scheduler scheduler;
  private final RegistrationSettings settings;
  private final String id;
  private final ObjectNode listing;
  private Cancellable renewal = () -> {};
  private boolean removed;

  /** Creates a registration, which {@link #start} sends to the platform. */
  public Registration(
      HttpClient client,
      Scheduler scheduler,
      RegistrationSettings settings,
      String id,
      String incarnation,
      String role,
      String address) {
    this.client = client;
    this.scheduler = scheduler;
    this.settings = settings;
    this.id = id;
    this.listing =
        Json.object()
            .put("incarnation", incarnation)
            .put("role", role)
            .put("pool", settings.pool())
            .put("address", address)
            .put("data_centre", settings.dataCentre())
            .put("state", "live");
  }

  /** Registers the server now and renews the registration periodically. */
  public void start() {
    if (removed) {
      return;
    }
    CompletableFuture<HttpAnswer> answer = sendToPlatform("PUT", Json.bytes(listing));
    answer.whenComplete(this::logFailure);
    renewal = scheduler.schedule(settings.renewEvery(), this::start);
  }

  /** Registers the server as leaving, now and at each renewal. */
  public void markAsLeaving() {
    renewal.cancel();
    listing.put("state", "leaving");
    start();
  }

  /** Removes the server from the list and ends the renewals. */
  public CompletableFuture<HttpAnswer> remove() {
    renewal.cancel();
    removed = true;
    return sendToPlatform("DELETE", new byte[0]);
  }

  private CompletableFuture<HttpAnswer> sendToPlatform(String method, byte[] body) {
    return client.fetch(
        new HttpCallRequest(
            settings.platform().orElseThrow(),
            method,
            "/instances/" + id,
            Map.of("Content-Type", "application/json"),
            body,
            CALL_TIMEOUT));
  }

  private void logFailure(@Nullable HttpAnswer answer, @Nullable Throwable failure) {
    if (failure != null) {
      LOGGER.warn("Registration of {} failed, retrying later: {}", id, failure.toString());
    } else if (answer != null && answer.status() != 200) {
      LOGGER.warn(
          "Registration of {} was answered with status {}: {}", id, answer.status(), answer.text());
    }
  }
}
