package org.teaseldeal.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.teaseldeal.api.BackendServerId;

class ServerHealthTests {
  private static final Instant NOW = Instant.EPOCH;

  private final Set<BackendServerId> servers = new TreeSet<>();
  private final ServerHealth health =
      new ServerHealth(Duration.ofSeconds(2), Duration.ofSeconds(30), Duration.ofSeconds(10));

  @BeforeEach
  void listNineServers() {
    for (int i = 0; i < 9; i++) {
      servers.add(server(i));
    }
    health.onListed(servers, NOW, true);
  }

  private static BackendServerId server(int index) {
    return new BackendServerId("server-" + index);
  }

  private void fail(int index, int times) {
    for (int i = 0; i < times; i++) {
      health.onFailed(server(index));
    }
  }

  @Test
  void ejectsAFailingServerAndRampsItUpAgain() {
    fail(0, 5);
    health.update(NOW);
    assertFalse(health.isEligible(server(0), NOW));
    Instant back = NOW.plusSeconds(2);
    assertTrue(health.isEligible(server(0), back));
    assertEquals(0.1, health.rampShare(server(0), back));
    assertEquals(0.5, health.rampShare(server(0), back.plusSeconds(5)));
    assertEquals(1, health.rampShare(server(0), back.plusSeconds(60)));
  }

  @Test
  void ejectsForLongerEachTime() {
    fail(0, 5);
    health.update(NOW);
    Instant back = NOW.plusSeconds(2);
    fail(0, 5);
    health.update(back);
    assertFalse(health.isEligible(server(0), back.plusMillis(3_999)));
    assertTrue(health.isEligible(server(0), back.plusSeconds(4)));
  }

  @Test
  void ejectsAtMostOneThirdIfAllFail() {
    for (int i = 0; i < 9; i++) {
      fail(i, 5 + i);
    }
    health.update(NOW);
    assertEquals(Set.of(server(6), server(7), server(8)), health.ejected(NOW));
  }

  @Test
  void ejectsAServerManyTimesSlowerThanTheOthers() {
    for (int i = 0; i < 9; i++) {
      for (int n = 0; n < 8; n++) {
        health.onAnswered(server(i), Duration.ofMillis(i == 3 ? 1_000 : 100), 1);
      }
    }
    health.update(NOW);
    assertEquals(Set.of(server(3)), health.ejected(NOW));
  }

  @Test
  void keepsAServerThatGotTheLongRequests() {
    for (int i = 0; i < 9; i++) {
      for (int n = 0; n < 8; n++) {
        health.onAnswered(server(i), Duration.ofMillis(i == 3 ? 1_000 : 100), i == 3 ? 10 : 1);
      }
    }
    health.update(NOW);
    assertEquals(Set.of(), health.ejected(NOW));
  }

  @Test
  void rampsUpAServerThatJoinsLater() {
    servers.add(server(9));
    health.onListed(servers, NOW, false);
    assertEquals(0.1, health.rampShare(server(9), NOW));
    assertEquals(1, health.rampShare(server(0), NOW));
  }

  /**
   * Guards against a restarted server that stays ejected because of its previous process. It has to
   * be used again immediately, with a ramp.
   */
  @Test
  void rampsUpARestartedServerThatWasEjected() {
    fail(0, 5);
    health.update(NOW);
    health.forget(server(0));
    health.onListed(servers, NOW, false);
    health.update(NOW);
    assertTrue(health.isEligible(server(0), NOW));
    assertEquals(0.1, health.rampShare(server(0), NOW));
  }
}
