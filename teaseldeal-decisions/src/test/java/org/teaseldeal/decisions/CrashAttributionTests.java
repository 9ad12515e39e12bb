package org.teaseldeal.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class CrashAttributionTests {
  private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
  private static final Duration RETENTION = Duration.ofHours(1);

  private final CrashAttribution attribution = new CrashAttribution(RETENTION);
  private int crashes;
  private Instant now = START;

  /** Guards against servers that crash one after the other under requests that share one part. */
  @Test
  void quarantinesThePartThatIsInAllCrashes() {
    crash(0, "prefix-1", "bad", "session-1");
    crash(1, "prefix-2", "bad");
    assertEquals(Optional.empty(), quarantined("bad"));
    crash(2, "bad", "session-2");
    assertEquals(Optional.of("bad"), quarantined("prefix-3", "bad"));
    assertEquals(Optional.empty(), quarantined("prefix-1", "session-1"));
  }

  /** Guards against refusals of all requests that share a common part with crashing ones. */
  @Test
  void doesNotQuarantineAPartThatIsAnsweredBetweenTheCrashes() {
    for (int second = 0; second < 9; second++) {
      crash(second, "common", "bad");
      attribution.onCleared("common", attribution.crashesOf("common"));
    }
    assertEquals(Optional.empty(), quarantined("common"));
    assertEquals(Optional.of("bad"), quarantined("common", "bad"));
  }

  /**
   * Guards against refusals of sound requests while nothing tells which of two parts is the cause.
   * The first request with only one of them decides.
   */
  @Nested
  class IfTwoPartsWereInTheSameCrashes {
    {
      for (int second = 0; second < 3; second++) {
        crash(second, "one", "other");
      }
    }

    @Test
    void refusesOnlyRequestsWithBoth() {
      assertTrue(quarantined("one", "other").isPresent());
      assertEquals(
          Optional.of(new CrashAttribution.Suspect("one", false)),
          attribution.suspect(List.of("one"), Set.of(), START));
      assertEquals(Optional.empty(), quarantined("one"));
      assertEquals(Optional.empty(), quarantined("other", "third"));
    }

    @Test
    void refusesThePartThatCrashesAServerWithoutTheOther() {
      crash(3, "other", "third");
      assertEquals(Optional.of("other"), quarantined("other"));
      assertEquals(Optional.empty(), quarantined("one"));
    }

    @Test
    void refusesThePartThatRemainsWhenTheOtherIsAnswered() {
      attribution.onCleared("one", attribution.crashesOf("one"));
      assertEquals(Optional.of("other"), quarantined("other"));
      assertEquals(Optional.empty(), quarantined("one"));
    }
  }

  /** Many servers crash at the same moment, all with one part that was never answered. */
  @Nested
  class IfManyServersCrashAtTheSameMoment {
    {
      for (int server = 0; server < 9; server++) {
        Instant at = START.plusMillis(10L * server);
        attribution.onCrash("server-" + server, at, Set.of("new"), START);
      }
    }

    /**
     * Guards against refusals after a failure of a rack or a data centre, under a part that is in
     * use everywhere.
     */
    @Test
    void waitsForAnAnswerByAnotherServer() {
      assertEquals(1, attribution.countOf("new"));
      now = START.plusMillis(1_199);
      assertEquals(Optional.empty(), quarantined("new"));
      attribution.onCleared("new", attribution.crashesOf("new"));
      now = START.plusSeconds(60);
      assertEquals(Optional.empty(), quarantined("new"));
    }

    /** Guards against servers that crash again as soon as they are back. */
    @Test
    void refusesThePartIfItIsNotAnswered() {
      now = START.plusMillis(1_200);
      assertEquals(Optional.of("new"), quarantined("new"));
    }
  }

  /** Guards against refusals if servers crash one after the other faster than answers come. */
  @Test
  void needsMoreCrashesForAPartThatWasAnsweredLately() {
    for (int second = 0; second < 5; second++) {
      crash(second, "hot");
    }
    assertEquals(Optional.empty(), attribution.suspect(List.of("hot"), Set.of("hot"), START));
    crash(5, "hot");
    assertEquals(
        Optional.of(new CrashAttribution.Suspect("hot", true)),
        attribution.suspect(List.of("hot"), Set.of("hot"), START));
  }

  /** Guards against a part that counts as known because a note about it was withdrawn. */
  @Test
  void learnsNothingFromAWithdrawnNote() {
    attribution.onCleared("bad", Set.of());
    for (int second = 0; second < 3; second++) {
      crash(second, "bad");
    }
    assertEquals(Optional.of("bad"), quarantined("bad"));
  }

  /** Guards against evidence that counts twice, or is lost, if messages arrive in another order. */
  @Test
  void doesNotDependOnTheOrderOfEvidence() {
    attribution.onCleared("common", Set.of("server-1", "server-2", "server-3"));
    crash(0, "common", "bad");
    crash(1, "common", "bad");
    crash(2, "common", "bad");
    attribution.onCrash("server-3", START.plusSeconds(2), List.of("bad"), START);
    assertEquals(3, attribution.countOf("bad"));
    assertEquals(0, attribution.countOf("common"));
  }

  /** Guards against a quarantine that ends while requests with the part still come. */
  @Test
  void keepsTheCrashesOfAPartInUse() {
    for (int second = 0; second < 3; second++) {
      crash(second, "bad");
    }
    now = START.plus(RETENTION);
    attribution.keep("bad", now);
    assertEquals(Set.of(), attribution.expire(now.plus(RETENTION)));
    assertEquals(Optional.of("bad"), quarantined("bad"));
    assertEquals(3, attribution.expire(now.plus(RETENTION).plusMillis(1)).size());
    assertTrue(attribution.isEmpty());
    assertFalse(attribution.exceedsLimit("bad", false, now));
  }

  private void crash(int second, String... parts) {
    attribution.onCrash(
        "server-" + ++crashes,
        START.plusSeconds(second),
        List.of(parts),
        START.plusSeconds(second));
  }

  private Optional<String> quarantined(String... parts) {
    return attribution
        .suspect(List.of(parts), Set.of(), now)
        .filter(CrashAttribution.Suspect::certain)
        .map(CrashAttribution.Suspect::part);
  }
}
