package org.teaseldeal.gateway.flow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.teaseldeal.api.BackendServerId;
import org.teaseldeal.gateway.path.ServerLimits;
import org.teaseldeal.gateway.peer.PeerLoad;
import org.teaseldeal.gateway.peer.PeerLoads;
import org.teaseldeal.gateway.server.BackendServer;
import org.teaseldeal.gateway.server.CachedPrompts;
import org.teaseldeal.gateway.server.ServerDirectory;
import org.teaseldeal.gateway.server.ServerListing;

/**
 * The load: engines with 64 places and memory for 30 prompts of 12,000 tokens, which all instances
 * send prompts to.
 */
class EngineSelectionTests {
  private static final Instant NOW = Instant.ofEpochMilli(1_700_000_000_000L);
  private static final long MEMORY_TOKENS = 349_690;
  private static final long INPUT_TOKENS = 12_000;
  private static final long OUTPUT_TOKENS = 500;
  private static final EngineOptions ALL_OPTIONS = new EngineOptions(true, 0.9, true, true);

  private final ServerDirectory servers = new ServerDirectory();
  private final Map<BackendServerId, PeerLoad> others = new HashMap<>();

  private ServerSelector selector(EngineOptions options) {
    return new ServerSelector(
        servers,
        () -> new PeerLoads(others, Duration.ZERO),
        new CachedPrompts(),
        () -> 1,
        ServerLimits.alone("instance-1", event -> {}, () -> NOW, new Random(1)),
        event -> {},
        new Random(1),
        options,
        service -> MEMORY_TOKENS);
  }

  /** Guards against engines that crash because the requests of all instances fill their memory. */
  @Test
  void sendsNoMorePromptsThanFitIntoTheMemoryOfTheEngines() {
    ServerSelector selector = selector(ALL_OPTIONS);
    list(3);
    int sent = 0;
    while (send(selector).isPresent()) {
      sent++;
      assertTrue(sent < 1_000, "the prompts don't end");
    }
    for (BackendServer server : servers.all()) {
      assertTrue(server.tokensHeld() <= MEMORY_TOKENS * 0.9, "held " + server.tokensHeld());
    }
    assertEquals(3 * 25, sent);
    assertTrue(selector.limitsRequests("models", NOW));
  }

  @Test
  void countsTheRequestsOfOtherInstances() {
    ServerSelector selector = selector(ALL_OPTIONS);
    list(2);
    assertTrue(send(selector).isPresent());
    for (BackendServer server : servers.all()) {
      others.put(server.id(), new PeerLoad(25, 0));
    }
    assertEquals(Optional.empty(), send(selector));
    others.clear();
    assertTrue(send(selector).isPresent());
  }

  /** Guards against memory that stays taken after its request has ended. */
  @Test
  void hasRoomAgainAfterRequestsEnded() {
    ServerSelector selector = selector(ALL_OPTIONS);
    list(1);
    BackendServer server = servers.all().iterator().next();
    while (send(selector).isPresent()) {
      assertTrue(server.tokensHeld() < MEMORY_TOKENS);
    }
    server.releaseTokens(INPUT_TOKENS + OUTPUT_TOKENS);
    server.onRequestEnded();
    assertTrue(send(selector).isPresent());
  }

  /** Without options the memory limits nothing, as ever. */
  @Test
  void limitsNothingWithoutOptions() {
    ServerSelector selector = selector(EngineOptions.NONE);
    list(1);
    for (int i = 0; i < 64; i++) {
      assertTrue(send(selector).isPresent());
    }
    assertFalse(selector.limitsRequests("models", NOW));
  }

  /** Guards against requests that wait while engines are healthy that weren't examined. */
  @Test
  void findsTheOnlyEngineThatMayBeUsedAmongMany() {
    ServerSelector selector = selector(ALL_OPTIONS);
    list(78);
    BackendServer usable = servers.find(new BackendServerId("e61")).orElseThrow();
    for (BackendServer server : servers.all()) {
      if (server != usable) {
        server.excludeUntil(NOW.plusSeconds(1));
      }
    }
    assertEquals(usable, select(selector).orElseThrow().server());
  }

  @Test
  void keepsThePromptsOfOnePrefixTogetherAmongMany() {
    ServerSelector selector = selector(ALL_OPTIONS);
    list(78);
    BackendServer home = select(selector).orElseThrow().server();
    for (int i = 0; i < 20; i++) {
      assertEquals(home, select(selector).orElseThrow().server());
    }
  }

  /** Guards against a slow engine that gets as many prompts as the others. */
  @Test
  void prefersEnginesThatAnswerSooner() {
    ServerSelector selector = selector(new EngineOptions(true, 0, false, false));
    list(2);
    BackendServer slow = servers.find(new BackendServerId("e0")).orElseThrow();
    for (int i = 0; i < 40; i++) {
      ServerSelector.Selection selection = select(selector, "").orElseThrow();
      boolean isSlow = selection.server() == slow;
      selector.onFirstEvent(selection, Duration.ofMillis(isSlow ? 400 : 120));
    }
    for (int i = 0; i < 10; i++) {
      assertTrue(select(selector, "").orElseThrow().server() != slow, "the slow engine was chosen");
    }
  }

  private void list(int engines) {
    for (int i = 0; i < engines; i++) {
      servers.put(
          new ServerListing(
              new BackendServerId("e" + i),
              "models",
              "10.0.0.1:80",
              "hall-a",
              "v1",
              64,
              false,
              Optional.of(NOW)));
    }
  }

  private static Optional<ServerSelector.Selection> send(ServerSelector selector) {
    Optional<ServerSelector.Selection> chosen = select(selector);
    chosen.ifPresent(
        selection -> {
          selection.server().onRequestSent(0);
          selection.server().holdTokens(INPUT_TOKENS + OUTPUT_TOKENS);
          selector.onPromptSent(selection, prompt("p"), Duration.ofSeconds(1), NOW);
        });
    return chosen;
  }

  private static Optional<ServerSelector.Selection> select(ServerSelector selector) {
    return select(selector, "p");
  }

  private static Optional<ServerSelector.Selection> select(ServerSelector selector, String prefix) {
    return selector.select(
        new ServerSelector.Criteria(
            "models",
            Optional.of(prompt(prefix)),
            Duration.ofSeconds(1),
            Set.of(),
            Optional.empty()),
        NOW);
  }

  private static PromptDescription prompt(String prefix) {
    List<PromptPart> parts =
        prefix.isEmpty()
            ? List.of()
            : List.of(new PromptPart(prefix, 5_000), new PromptPart("own", 7_000));
    return new PromptDescription(INPUT_TOKENS, OUTPUT_TOKENS, parts);
  }
}
