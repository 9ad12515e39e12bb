package org.teaseldeal.gateway.peer;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.teaseldeal.net.HttpAnswer;
import org.teaseldeal.net.HttpCallRequest;
import org.teaseldeal.net.HttpExchange;
import org.teaseldeal.net.HttpHandler;

/**
 * Fetches the presumed contents of the servers' caches from another instance at the start, and
 * answers other instances that start.
 *
 * <p>Load messages contain only the prompt parts that are sent from now on. When instances are
 * replaced one after the other, each new one would know nothing of the caches: prompts would go to
 * servers that have to read their prefixes again, while other servers have them in their caches. So
 * a new instance asks once for everything that was sent before.
 */
public final class CachedPromptsCalls implements HttpHandler {
  /** The path of the HTTP call that returns the presumed contents of the servers' caches. */
  public static final String PATH = "/cached-prompts";

  private static final Logger LOG = LoggerFactory.getLogger(CachedPromptsCalls.class);
  private static final Duration TIMEOUT = Duration.ofMillis(500);

  /** After this time an instance has observed most of the cache contents itself. */
  private static final Duration MAX_TRY_TIME = Duration.ofSeconds(3);

  private static final int OK = 200;

  private final LoadExchange loadExchange;
  private final Supplier<List<String>> peerAddresses;
  private final RelayedCalls.Caller caller;
  private final InstantSource clock;
  private final Instant giveUpAt;
  private int nextIndex;
  private boolean requestInFlight;
  private boolean finished;

  /**
   * Creates the calls of an instance.
   *
   * @param peerAddresses supplies the addresses of the other instances
   * @param nextIndex determines which of the other instances is asked first
   */
  public CachedPromptsCalls(
      LoadExchange loadExchange,
      Supplier<List<String>> peerAddresses,
      RelayedCalls.Caller caller,
      InstantSource clock,
      int nextIndex) {
    this.loadExchange = loadExchange;
    this.peerAddresses = peerAddresses;
    this.caller = caller;
    this.clock = clock;
    this.giveUpAt = clock.instant().plus(MAX_TRY_TIME);
    this.nextIndex = nextIndex;
  }

  /** Returns whether nothing is to be asked any more. */
  public boolean finished() {
    return finished;
  }

  /**
   * Asks one instance after the other until one has answered.
   *
   * @param ready whether the backend servers are known; without them an answer can't be used
   */
  public void tick(boolean ready) {
    if (finished || requestInFlight || !ready) {
      return;
    }
    List<String> addresses = peerAddresses.get();
    if (addresses.isEmpty()) {
      return;
    }
    if (clock.instant().isAfter(giveUpAt)) {
      finished = true;
      return;
    }
    requestInFlight = true;
    String address = addresses.get(Math.floorMod(nextIndex++, addresses.size()));
    caller
        .call(new HttpCallRequest(address, "GET", PATH, Map.of(), new byte[0], TIMEOUT))
        .whenComplete(this::onAnswer);
  }

  private void onAnswer(@Nullable HttpAnswer answer, @Nullable Throwable failure) {
    requestInFlight = false;
    if (failure != null || answer == null || answer.status() != OK) {
      return;
    }
    try {
      loadExchange.mergeCachedPrompts(answer.body());
      finished = true;
    } catch (IllegalArgumentException e) {
      LOG.warn(
          "could not decode the cache contents that another instance sent; asking the next: {}",
          e.getMessage());
    }
  }

  @Override
  public void handle(HttpExchange exchange) {
    exchange.respond(OK, Map.of(), loadExchange.cachedPrompts());
  }
}
