package org.teaseldeal.gateway.flow;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.teaseldeal.api.BackendServerId;
import org.teaseldeal.gateway.path.ServerLimits;
import org.teaseldeal.gateway.peer.PeerLoads;
import org.teaseldeal.gateway.server.BackendServer;
import org.teaseldeal.gateway.server.CachedPrompts;
import org.teaseldeal.gateway.server.ServerDirectory;
import org.teaseldeal.gateway.server.ServerListing;

class ServerSelectorTests {
  private static final Instant NOW = Instant.ofEpochMilli(1_700_000_000_000L);

  /** More consecutive failures than chance explains, so that the server is ejected. */
  private static final int MANY_FAILURES = 6;

  private final ServerDirectory servers = new ServerDirectory();
  private final ServerSelector selector =
      new ServerSelector(
          servers,
          () -> PeerLoads.NONE,
          new CachedPrompts(),
          () -> 1,
          ServerLimits.alone("instance-1", event -> {}, () -> NOW, new Random(1)),
          event -> {},
          new Random(1),
          EngineOptions.NONE,
          service -> 0);

  @BeforeEach
  void list() {
    for (String id : new String[] {"a", "b", "c"}) {
      servers.put(listing(id, NOW));
    }
    selector.tick(NOW);
  }

  /** An ejected server that restarts under its id can be chosen again at once. */
  @Test
  void resetsTheHealthOfARestartedServer() {
    fail(find("a"));
    selector.tick(NOW);
    assertEquals(2, candidates());
    servers.put(listing("a", NOW.plusMillis(1)));
    assertEquals(3, candidates());
  }

  /**
   * The answers that an earlier incarnation lost become known one by one after the server has
   * restarted. They don't count against the new incarnation, which keeps its share of the requests.
   */
  @Test
  void ignoresFailuresOfAnEarlierIncarnation() {
    BackendServer crashed = find("a");
    servers.put(listing("a", NOW.plusMillis(1)));
    selector.tick(NOW);
    fail(crashed);
    selector.tick(NOW);
    assertEquals(3, candidates());
  }

  /**
   * The only server of a service fails, disappears from the list and returns. It is treated as a
   * new server.
   */
  @Test
  void forgetsTheHealthOfTheLastServerOfAService() {
    for (String id : new String[] {"b", "c"}) {
      servers.remove(new BackendServerId(id));
    }
    fail(find("a"));
    servers.remove(new BackendServerId("a"));
    selector.tick(NOW);
    list();
    assertEquals(3, candidates());
  }

  /** A stream must not go on at a server that may have restarted with other software. */
  @Test
  void choosesNoServerForABegunStreamThatMayHaveRestartedUnnoticed() {
    for (String id : new String[] {"a", "b"}) {
      find(id).onConnectionLost(NOW.minusSeconds(1), NOW);
      find(id).onConnectionLost(NOW.minusSeconds(2), NOW.plusMillis(1));
    }
    assertEquals(1, candidatesOfVersion("v1", NOW));
    assertEquals(3, candidates());
    Instant later = NOW.plusMillis(500);
    heartbeat("a", later.minusMillis(1));
    heartbeat("b", later);
    assertEquals(2, candidatesOfVersion("v1", later));
  }

  /** A server breaks off an answer but runs on, as its other answers show. */
  @Test
  void choosesServerForABegunStreamWhoseProcessGoesOn() {
    BackendServer server = find("a");
    server.onConnectionLost(NOW.minusSeconds(1), NOW);
    assertEquals(3, candidatesOfVersion("v1", NOW));
    server.onConnectionLost(NOW.minusSeconds(1), NOW);
    assertEquals(2, candidatesOfVersion("v1", NOW));
    Instant later = NOW.plusMillis(101);
    server.onReceived(NOW.plusMillis(1), later);
    assertEquals(2, candidatesOfVersion("v1", later));
    server.onReceived(NOW.minusMillis(1), later);
    assertEquals(3, candidatesOfVersion("v1", later));
  }

  /** The last servers of a version have announced that they leave; they serve a little longer. */
  @Test
  void choosesLeavingServersForABegunStreamOnlyForAWhileAndIfNoOtherIsLeft() {
    servers.put(listing("d", "v0", false));
    servers.put(listing("e", "v0", false));
    servers.tick(NOW);
    servers.put(listing("d", "v0", true));
    assertEquals(1, candidatesOfVersion("v0", NOW));
    servers.put(listing("e", "v0", true));
    Instant end = NOW.plusSeconds(1);
    assertEquals(2, candidatesOfVersion("v0", end.minusMillis(1)));
    assertEquals(0, candidatesOfVersion("v0", end));
    assertEquals(3, candidates());
  }

  private void heartbeat(String id, Instant at) {
    servers.tick(at);
    servers.put(listing(id, NOW));
  }

  private int candidatesOfVersion(String version, Instant now) {
    return selector
        .select(
            new ServerSelector.Criteria(
                "models", Optional.empty(), Duration.ofSeconds(1), Set.of(), Optional.of(version)),
            now)
        .map(ServerSelector.Selection::candidates)
        .orElse(0);
  }

  private static ServerListing listing(String id, String version, boolean leaving) {
    return listing(id, version, leaving, NOW);
  }

  private static ServerListing listing(String id, String version, boolean leaving, Instant start) {
    return new ServerListing(
        new BackendServerId(id),
        "models",
        "10.0.0.1:80",
        "hall-a",
        version,
        64,
        leaving,
        Optional.of(start));
  }

  private void fail(BackendServer server) {
    for (int i = 0; i < MANY_FAILURES; i++) {
      selector.onFailed(server);
    }
  }

  private int candidates() {
    return selector
        .select(
            new ServerSelector.Criteria(
                "models", Optional.empty(), Duration.ofSeconds(1), Set.of(), Optional.empty()),
            NOW)
        .orElseThrow()
        .candidates();
  }

  private BackendServer find(String id) {
    return servers.find(new BackendServerId(id)).orElseThrow();
  }

  private static ServerListing listing(String id, Instant start) {
    return listing(id, "v1", false, start);
  }
}
