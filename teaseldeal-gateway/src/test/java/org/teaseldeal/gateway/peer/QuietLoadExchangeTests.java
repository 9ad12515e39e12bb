package org.teaseldeal.gateway.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The load is that of sixty instances that wait for their first caller. */
class QuietLoadExchangeTests {
  private static final int SERVERS = 70;
  private static final String PART = "subject-1";

  private final LoadFleet fleet = new LoadFleet(61, SERVERS);

  @BeforeEach
  void waitUntilQuiet() {
    fleet.onlyWhenDue = true;
    fleet.run(Duration.ofSeconds(3));
    fleet.resetCounts();
  }

  @Test
  void runsRarelyWhileNoLoadChanges() {
    fleet.run(Duration.ofSeconds(10));
    for (LoadFleet.Instance each : fleet.instances) {
      assertTrue(each.rounds <= 130, each.name + " ran " + each.rounds + " times in ten seconds");
    }
  }

  /** An instance that hears no other asks no holder of tokens, and a silent collector is left. */
  @Test
  void hearsTheOthersWhileNoLoadChanges() {
    for (int i = 0; i < 100; i++) {
      fleet.run(Duration.ofMillis(100));
      for (LoadFleet.Instance each : fleet.instances) {
        assertTrue(each.exchange.hasRecentPeerMessages(), each.name);
      }
    }
  }

  /** The first prompt after a quiet time must be seen by all others as soon as any other. */
  @ParameterizedTest
  @ValueSource(ints = {0, 20, 60, 100, 240, 480})
  void tellsAllOfTheFirstPrompt(int sinceQuietMillis) {
    fleet.run(Duration.ofMillis(sinceQuietMillis));
    Set<String> collectors = fleet.collectors();
    LoadFleet.Instance first =
        fleet.instances.stream()
            .filter(each -> !collectors.contains(each.name))
            .findFirst()
            .orElseThrow();
    first.start(7, PART);
    fleet.run(Duration.ofMillis(240));
    for (LoadFleet.Instance each : fleet.instances) {
      assertEquals(each == first ? 0 : 1, each.peerRequestsAt(7), each.name);
    }
  }

  /** The same for a prompt at a collector, which nobody's message makes due. */
  @Test
  void tellsAllOfTheFirstPromptOfACollector() {
    Set<String> collectors = fleet.collectors();
    LoadFleet.Instance first =
        fleet.instances.stream()
            .filter(each -> collectors.contains(each.name))
            .findFirst()
            .orElseThrow();
    first.start(7, PART);
    fleet.run(Duration.ofMillis(240));
    for (LoadFleet.Instance each : fleet.instances) {
      assertEquals(each == first ? 0 : 1, each.peerRequestsAt(7), each.name);
    }
  }
}
