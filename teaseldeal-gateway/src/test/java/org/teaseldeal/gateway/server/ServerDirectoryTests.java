package org.teaseldeal.gateway.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.teaseldeal.api.BackendServerId;

class ServerDirectoryTests {
  private static final Instant BACK = Instant.EPOCH;
  private static final Instant UNTIL = BACK.plus(Duration.ofSeconds(2));

  /** When two incarnations of one server started. */
  private static final Instant FIRST = Instant.ofEpochMilli(1_700_000_000_000L);

  private static final Instant SECOND = FIRST.plusMillis(1);

  private final ServerDirectory directory = new ServerDirectory();

  @BeforeEach
  void list() {
    directory.put(listing("a", false));
    directory.put(listing("b", false));
  }

  /**
   * Callers are served right after an outage of the list. All servers' lines expired in it, as none
   * could be renewed; one server writes its line again in time, the other is gone for good.
   */
  @Test
  void keepsServersWhoseLinesLapsedInAnOutageForAWhile() {
    directory.lapseOthers(Set.of(), UNTIL);
    directory.tick(UNTIL.minusMillis(1));
    assertEquals(2, directory.ready("models").size());
    directory.put(listing("a", false));
    directory.tick(UNTIL);
    assertEquals("a", directory.ready("models").getFirst().id().name());
    assertEquals(1, directory.ready("models").size());
  }

  /** A server that said it leaves gets nothing more, also where its line goes in an outage. */
  @Test
  void dropsAServerThatWasLeavingAtOnce() {
    directory.put(listing("a", true));
    directory.lapse(new BackendServerId("a"), UNTIL);
    assertEquals(1, directory.all().size());
  }

  @Test
  void listsNoServerAgainThatSaidItLeaves() {
    directory.put(listing("a", true));
    directory.put(listing("a", false));
    assertEquals(1, directory.ready("models").size());
  }

  /**
   * Callers are served by a server that crashed and came back within its line's time. It starts
   * under the id that it had, at another address and for another service, and holds nothing of
   * before; what this instance had there counts for the process that is gone.
   */
  @Test
  void replacesAnIncarnationByALaterOne() {
    directory.put(started("c", FIRST, false));
    BackendServer crashed = find("c");
    List<BackendServer> replaced = new ArrayList<>();
    directory.onReplaced(replaced::add);
    crashed.started(700);
    crashed.avoidUntil(Instant.MAX);
    directory.put(
        new ServerListing(
            new BackendServerId("c"),
            "desk",
            "10.0.0.7:81",
            "hall-b",
            32,
            false,
            Optional.of(SECOND)));
    BackendServer restarted = find("c");
    assertEquals("10.0.0.7:81", restarted.address());
    assertEquals("hall-b", restarted.dataCentre());
    assertEquals(32, restarted.places());
    assertEquals(0, restarted.running());
    assertEquals(0, restarted.promptTokensAhead());
    assertFalse(restarted.avoided(BACK), "the earlier incarnation's pause holds");
    assertEquals(List.of("c"), ready("desk"));
    assertEquals(List.of("a", "b"), ready("models"));
    crashed.ended();
    assertEquals(0, restarted.running());
    assertEquals(List.of(crashed), replaced);
  }

  /** A server that was draining ends and starts again under its id: it serves at once. */
  @Test
  void listsAServerThatLeftAndStartedAgain() {
    directory.put(started("c", FIRST, true));
    directory.put(started("c", SECOND, false));
    assertEquals(List.of("a", "b", "c"), ready("models"));
  }

  /**
   * No request goes to a process that has ended. Its last lines arrive after those of its
   * successor: one says that it is ready, one that it leaves.
   */
  @Test
  void ignoresLinesOfAnEarlierIncarnation() {
    directory.put(started("c", SECOND, false));
    BackendServer current = find("c");
    directory.put(started("c", FIRST, false));
    directory.put(started("c", FIRST, true));
    assertSame(current, find("c"));
    assertTrue(current.listedAsReady(), "an earlier incarnation's line took its successor away");
  }

  @Test
  void keepsAnIncarnationThatLeavesShutOut() {
    directory.put(started("c", FIRST, true));
    directory.put(started("c", FIRST, false));
    assertEquals(List.of("a", "b"), ready("models"));
  }

  /** The line of a server that left is gone, and a late one of the same process follows. */
  @Test
  void listsNoServerAgainThatLeftAndIsGone() {
    directory.put(started("c", FIRST, true));
    directory.remove(new BackendServerId("c"));
    directory.put(started("c", FIRST, false));
    assertEquals(List.of("a", "b"), ready("models"));
    directory.put(started("c", SECOND, false));
    assertEquals(List.of("a", "b", "c"), ready("models"));
  }

  @Test
  void listsNoEarlierIncarnationOfAServerThatIsGone() {
    directory.put(started("c", SECOND, false));
    directory.remove(new BackendServerId("c"));
    directory.put(started("c", FIRST, false));
    assertEquals(List.of("a", "b"), ready("models"));
  }

  /** A server's clock is set back and it starts again: it isn't shut out for good. */
  @Test
  void listsAServerWithAnEarlierStartInTheEnd() {
    directory.tick(BACK);
    directory.put(started("c", SECOND, false));
    directory.remove(new BackendServerId("c"));
    directory.tick(BACK.plus(Duration.ofMinutes(1)));
    directory.put(started("c", FIRST, false));
    assertEquals(List.of("a", "b"), ready("models"));
    directory.tick(BACK.plus(Duration.ofMinutes(2)));
    directory.put(started("c", FIRST, false));
    assertEquals(List.of("a", "b", "c"), ready("models"));
  }

  /**
   * A server that was cut off from the list serves again once it is back. It lived on meanwhile, so
   * its line comes with the start that it had; only its own heartbeat can have written it.
   */
  @Test
  void listsAServerAgainWhoseLineHadExpired() {
    directory.put(started("c", FIRST, false));
    directory.remove(new BackendServerId("c"));
    directory.put(started("c", FIRST, false));
    assertEquals(List.of("a", "b", "c"), ready("models"));
  }

  /** A line without a start, under the id of a server that tells its own, is another writer's. */
  @Test
  void ignoresALineWithoutAStartBehindOneWithAStart() {
    directory.put(started("c", FIRST, false));
    BackendServer current = find("c");
    directory.put(listing("c", true));
    assertSame(current, find("c"));
    assertTrue(current.listedAsReady(), "a line without a start took the server away");
    directory.remove(new BackendServerId("c"));
    directory.put(listing("c", false));
    assertEquals(List.of("a", "b"), ready("models"));
  }

  /** A server's new release tells its start; the process that didn't has ended. */
  @Test
  void replacesAServerWithoutAStartByOneWithAStart() {
    directory.put(listing("a", true));
    directory.put(started("a", FIRST, false));
    assertEquals(2, directory.ready("models").size());
  }

  /**
   * No request goes to an address that another writer put on the list. All servers of the platform
   * tell their start; lines without one stand among them from the beginning, or come later, also
   * while the good lines are gone for a moment.
   */
  @Test
  void usesNoServerWithoutAStartOnceMostTellOne() {
    directory.put(started("c", FIRST, false));
    directory.tick(BACK);
    assertEquals(List.of("a", "b", "c"), ready("models"));
    directory.put(started("d", FIRST, false));
    directory.tick(BACK);
    assertEquals(List.of("c", "d"), ready("models"));
    directory.retain(Set.of());
    directory.put(listing("e", false));
    directory.tick(BACK);
    assertEquals(List.of(), ready("models"));
  }

  /** A fleet whose servers tell no start isn't taken away by the one line that tells one. */
  @Test
  void keepsAFleetWithoutStarts() {
    directory.put(started("c", FIRST, false));
    directory.remove(new BackendServerId("c"));
    directory.tick(BACK);
    directory.put(listing("d", false));
    assertEquals(List.of("a", "b", "d"), ready("models"));
    directory.remove(new BackendServerId("d"));
    directory.put(listing("d", false));
    assertEquals(List.of("a", "b", "d"), ready("models"));
  }

  private BackendServer find(String id) {
    return directory.find(new BackendServerId(id)).orElseThrow();
  }

  private List<String> ready(String service) {
    return directory.ready(service).stream().map(server -> server.id().name()).sorted().toList();
  }

  private static ServerListing started(String id, Instant start, boolean leaving) {
    return new ServerListing(
        new BackendServerId(id),
        "models",
        "10.0.0.1:80",
        "hall-a",
        64,
        leaving,
        Optional.of(start));
  }

  private static ServerListing listing(String id, boolean leaving) {
    return new ServerListing(
        new BackendServerId(id), "models", "10.0.0.1:80", "hall-a", 64, leaving, Optional.empty());
  }
}
