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
 * Asks another instance at the start what lies in the servers' caches, and answers others that
 * start.
 *
 * <p>Failure: instances are replaced in turn, and each begins with no idea of the caches. Symptom:
 * prompts go to servers that have to read their beginnings again while others hold them. Messages
 * tell only what is sent from now on, so all that was sent before is asked for once.
 */
public final class CachedPromptsCalls implements HttpHandler {
  /** Where an instance answers. */
  public static final String PATH = "/cached-prompts";

  private static final Logger LOG = LoggerFactory.getLogger(CachedPromptsCalls.class);
  private static final Duration TIMEOUT = Duration.ofMillis(500);

  /** By then an instance has seen for itself most of what is asked for. */
  private static final Duration LONGEST_TRY = Duration.ofSeconds(3);

  private static final int OK = 200;

  private final LoadExchange loads;
  private final Supplier<List<String>> others;
  private final RelayedCalls.Caller caller;
  private final InstantSource clock;
  private final Instant giveUpAt;
  private int turn;
  private boolean asking;
  private boolean done;

  /** Creates the calls of an instance; {@code turn} decides which other one it asks first. */
  public CachedPromptsCalls(
      LoadExchange loads,
      Supplier<List<String>> others,
      RelayedCalls.Caller caller,
      InstantSource clock,
      int turn) {
    this.loads = loads;
    this.others = others;
    this.caller = caller;
    this.clock = clock;
    this.giveUpAt = clock.instant().plus(LONGEST_TRY);
    this.turn = turn;
  }

  /**
   * Asks the next instance until one has answered.
   *
   * @param ready whether the servers are known, without which the answer says nothing
   */
  public void tick(boolean ready) {
    List<String> addresses = others.get();
    if (done || asking || !ready || addresses.isEmpty()) {
      return;
    }
    if (clock.instant().isAfter(giveUpAt)) {
      done = true;
      return;
    }
    asking = true;
    String address = addresses.get(Math.floorMod(turn++, addresses.size()));
    caller
        .call(new HttpCallRequest(address, "GET", PATH, Map.of(), new byte[0], TIMEOUT))
        .whenComplete(this::onAnswer);
  }

  private void onAnswer(@Nullable HttpAnswer answer, @Nullable Throwable failure) {
    asking = false;
    if (failure != null || answer == null || answer.status() != OK) {
      return;
    }
    try {
      loads.learnCachedPrompts(answer.body());
      done = true;
    } catch (IllegalArgumentException e) {
      LOG.warn("what another instance knows of the caches can't be read: {}", e.getMessage());
    }
  }

  @Override
  public void handle(HttpExchange exchange) {
    exchange.respond(OK, Map.of(), loads.cachedPrompts());
  }
}
