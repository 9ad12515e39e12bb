package org.teaseldeal.gateway.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.teaseldeal.api.BackendServerId;
import org.teaseldeal.gateway.fake.ManualClock;
import org.teaseldeal.gateway.server.BackendServer;
import org.teaseldeal.gateway.server.CachedPrompts;
import org.teaseldeal.gateway.server.ServerDirectory;
import org.teaseldeal.gateway.server.ServerListing;

class LoadExchangeTests {
  private static final BackendServerId ENGINE = new BackendServerId("i-1");
  private static final Set<String> BOTH = Set.of("a", "b");
  private static final Instant FIRST = Instant.ofEpochMilli(1_700_000_000_000L);

  private final ManualClock clock = new ManualClock();
  private final List<byte[]> sent = new ArrayList<>();
  private final CachedPrompts told = new CachedPrompts();
  private final CachedPrompts heard = new CachedPrompts();
  private final ServerDirectory teller = directory();
  private final LoadExchange telling =
      new LoadExchange(
          "a",
          teller,
          told,
          () -> BOTH,
          name -> Optional.of(name + ":7"),
          (to, message) -> sent.add(message),
          clock);
  private final ServerDirectory listener = directory();
  private final LoadExchange hearing =
      new LoadExchange(
          "b",
          listener,
          heard,
          () -> BOTH,
          name -> Optional.of(name + ":7"),
          (to, message) -> {},
          clock);

  @Test
  void sumsUpTheLoadsOfOtherInstances() {
    teller.find(ENGINE).orElseThrow().started(700);
    telling.tick();
    hearing.receive(sent.getFirst());
    assertEquals(Map.of(ENGINE, new OthersLoad(1, 700)), hearing.others().byServer());
  }

  @Test
  void ignoresStaleLoads() {
    teller.find(ENGINE).orElseThrow().started(700);
    telling.tick();
    hearing.receive(sent.getFirst());
    clock.advance(Duration.ofSeconds(2));
    assertEquals(Map.of(), hearing.others().byServer());
  }

  @Test
  void dropsAMessageThatArrivesAfterALaterOne() {
    teller.find(ENGINE).orElseThrow().started(700);
    telling.tick();
    teller.find(ENGINE).orElseThrow().started(300);
    clock.advance(Duration.ofMillis(200));
    telling.tick();
    hearing.receive(sent.get(1));
    hearing.receive(sent.get(0));
    assertEquals(Map.of(ENGINE, new OthersLoad(2, 1000)), hearing.others().byServer());
  }

  /**
   * A peer that doesn't know of a server's restart still sends the load that it had at the crashed
   * process. That load must not count for the new process, or the server would get too few
   * requests.
   */
  @Test
  void ignoresLoadAtAnEarlierIncarnationOfAServer() {
    teller.put(listing(Optional.of(FIRST)));
    listener.put(listing(Optional.of(FIRST.plusMillis(1))));
    teller.find(ENGINE).orElseThrow().started(700);
    telling.tick();
    hearing.receive(sent.getFirst());
    assertEquals(Map.of(), hearing.others().byServer());

    teller.put(listing(Optional.of(FIRST.plusMillis(1))));
    teller.find(ENGINE).orElseThrow().started(300);
    clock.advance(Duration.ofMillis(200));
    telling.tick();
    hearing.receive(sent.getLast());
    assertEquals(Map.of(ENGINE, new OthersLoad(1, 300)), hearing.others().byServer());
  }

  /** Each prompt part is repeated, so that it arrives even if one message is lost. */
  @Test
  void repeatsAPromptPartThatWasSentToAServer() {
    BackendServer server = teller.find(ENGINE).orElseThrow();
    server.started(700);
    told.onSent(server.incarnation(), List.of("subject"), clock.instant());
    telling.tick();
    clock.advance(Duration.ofMillis(120));
    telling.tick();
    hearing.receive(sent.getLast());
    assertTrue(heard.holds(listener.find(ENGINE).orElseThrow().incarnation(), "subject"));
  }

  /** An instance that has just started must know the cache contents from before its start. */
  @Test
  void transfersCacheContentsToAStartingInstance() {
    told.onSent(teller.find(ENGINE).orElseThrow().incarnation(), List.of("subject"), FIRST);
    hearing.learnCachedPrompts(telling.cachedPrompts());
    assertTrue(heard.holds(listener.find(ENGINE).orElseThrow().incarnation(), "subject"));
  }

  @Test
  void ignoresMessagesThatCannotBeDecoded() {
    hearing.receive(new byte[] {9, 9, 9});
    hearing.receive(new byte[0]);
    assertEquals(Map.of(), hearing.others().byServer());
  }

  private static ServerDirectory directory() {
    ServerDirectory servers = new ServerDirectory();
    servers.put(listing(Optional.empty()));
    return servers;
  }

  private static ServerListing listing(Optional<Instant> startedAt) {
    return new ServerListing(ENGINE, "models", "10.0.0.9:80", "hall-a", 64, false, startedAt);
  }
}
