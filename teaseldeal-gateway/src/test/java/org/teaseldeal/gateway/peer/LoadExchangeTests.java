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
  private static final Set<String> FLEET = Set.of("a", "b");
  private static final Instant FIRST_START = Instant.ofEpochMilli(1_700_000_000_000L);

  private final ManualClock clock = new ManualClock();
  private final List<byte[]> sent = new ArrayList<>();
  private final CachedPrompts senderPrompts = new CachedPrompts();
  private final CachedPrompts receiverPrompts = new CachedPrompts();
  private final ServerDirectory senderServers = directory();
  private final LoadExchange sender =
      new LoadExchange(
          "a",
          senderServers,
          senderPrompts,
          () -> FLEET,
          name -> Optional.of(name + ":7"),
          (to, message) -> sent.add(message),
          clock);
  private final ServerDirectory receiverServers = directory();
  private final LoadExchange receiver =
      new LoadExchange(
          "b",
          receiverServers,
          receiverPrompts,
          () -> FLEET,
          name -> Optional.of(name + ":7"),
          (to, message) -> {},
          clock);

  @Test
  void sumsUpTheLoadsOfOtherInstances() {
    senderServers.find(ENGINE).orElseThrow().onRequestSent(700);
    sender.tick();
    receiver.receive(sent.getFirst());
    assertEquals(Map.of(ENGINE, new PeerLoad(1, 700)), receiver.peerLoads().byServer());
  }

  @Test
  void ignoresStaleLoads() {
    senderServers.find(ENGINE).orElseThrow().onRequestSent(700);
    sender.tick();
    receiver.receive(sent.getFirst());
    clock.advance(Duration.ofSeconds(2));
    assertEquals(Map.of(), receiver.peerLoads().byServer());
  }

  @Test
  void dropsAMessageThatArrivesAfterALaterOne() {
    senderServers.find(ENGINE).orElseThrow().onRequestSent(700);
    sender.tick();
    senderServers.find(ENGINE).orElseThrow().onRequestSent(300);
    clock.advance(Duration.ofMillis(200));
    sender.tick();
    receiver.receive(sent.get(1));
    receiver.receive(sent.get(0));
    assertEquals(Map.of(ENGINE, new PeerLoad(2, 1000)), receiver.peerLoads().byServer());
  }

  /**
   * A peer that doesn't know of a server's restart still sends the load that it had at the crashed
   * process. That load must not count for the new process, or the server would get too few
   * requests.
   */
  @Test
  void ignoresLoadAtAnEarlierIncarnationOfAServer() {
    senderServers.put(listing(Optional.of(FIRST_START)));
    receiverServers.put(listing(Optional.of(FIRST_START.plusMillis(1))));
    senderServers.find(ENGINE).orElseThrow().onRequestSent(700);
    sender.tick();
    receiver.receive(sent.getFirst());
    assertEquals(Map.of(), receiver.peerLoads().byServer());

    senderServers.put(listing(Optional.of(FIRST_START.plusMillis(1))));
    senderServers.find(ENGINE).orElseThrow().onRequestSent(300);
    clock.advance(Duration.ofMillis(200));
    sender.tick();
    receiver.receive(sent.getLast());
    assertEquals(Map.of(ENGINE, new PeerLoad(1, 300)), receiver.peerLoads().byServer());
  }

  /** Each prompt part is repeated, so that it arrives even if one message is lost. */
  @Test
  void repeatsAPromptPartThatWasSentToAServer() {
    BackendServer server = senderServers.find(ENGINE).orElseThrow();
    server.onRequestSent(700);
    senderPrompts.onSent(server.incarnation(), List.of("subject"), clock.instant());
    sender.tick();
    clock.advance(Duration.ofMillis(120));
    sender.tick();
    receiver.receive(sent.getLast());
    assertTrue(
        receiverPrompts.contains(
            receiverServers.find(ENGINE).orElseThrow().incarnation(), "subject"));
  }

  /** An instance that has just started must know the cache contents from before its start. */
  @Test
  void transfersCacheContentsToAStartingInstance() {
    senderPrompts.onSent(
        senderServers.find(ENGINE).orElseThrow().incarnation(), List.of("subject"), FIRST_START);
    receiver.mergeCachedPrompts(sender.cachedPrompts());
    assertTrue(
        receiverPrompts.contains(
            receiverServers.find(ENGINE).orElseThrow().incarnation(), "subject"));
  }

  @Test
  void ignoresMessagesThatCannotBeDecoded() {
    receiver.receive(new byte[] {9, 9, 9});
    receiver.receive(new byte[0]);
    assertEquals(Map.of(), receiver.peerLoads().byServer());
  }

  private static ServerDirectory directory() {
    ServerDirectory servers = new ServerDirectory();
    servers.put(listing(Optional.empty()));
    return servers;
  }

  private static ServerListing listing(Optional<Instant> startedAt) {
    return new ServerListing(ENGINE, "models", "10.0.0.9:80", "hall-a", "v1", 64, false, startedAt);
  }
}
