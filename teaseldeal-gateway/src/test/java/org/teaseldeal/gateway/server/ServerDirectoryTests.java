package org.teaseldeal.gateway.server;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.teaseldeal.api.BackendServerId;

class ServerDirectoryTests {
  private static final Instant BACK = Instant.EPOCH;
  private static final Instant UNTIL = BACK.plus(Duration.ofSeconds(2));

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

  private static ServerListing listing(String id, boolean leaving) {
    return new ServerListing(
        new BackendServerId(id), "models", "10.0.0.1:80", "hall-a", 64, leaving, Optional.empty());
  }
}
