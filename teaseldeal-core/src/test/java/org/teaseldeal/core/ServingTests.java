package org.teaseldeal.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.teaseldeal.api.ErrorKind;
import org.teaseldeal.api.Usage;
import org.teaseldeal.core.fake.FakeCall;
import org.teaseldeal.core.fake.FakeFleet;
import org.teaseldeal.core.fake.FakeInstance;
import org.teaseldeal.core.fake.FakeServer;

class ServingTests {
  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final Optional<String> NO_KEY = Optional.empty();

  private final FakeFleet fleet = FakeFleet.withBudget(1, 100_000);

  private void untilEnded(FakeCall... calls) {
    boolean ended =
        fleet
            .simulation()
            .runUntil(
                () -> java.util.Arrays.stream(calls).allMatch(FakeCall::ended),
                Duration.ofSeconds(60));
    assertTrue(ended, () -> List.of(calls).toString());
  }

  @Nested
  class OneInstance {
    private final FakeInstance instance = fleet.startReady("r1").getFirst();

    @Test
    void streamsAModelAnswerAndChargesItsUsage() {
      FakeCall call = instance.callModel("mill", "drafts", NO_KEY, TIMEOUT);
      untilEnded(call);
      fleet.simulation().run(Duration.ofSeconds(1));
      assertTrue(call.isComplete(5), call::toString);
      assertEquals(Optional.of(new Usage(20, 5)), call.usage());
      assertEquals(25, fleet.budget().charged());
      assertEquals(Optional.empty(), fleet.ledger().findImbalance());
    }

    @Test
    void answersAPlainCallAndChargesItsFixedCost() {
      FakeCall call = instance.callPlain("mill", "wool/rates", NO_KEY, TIMEOUT, "today");
      untilEnded(call);
      fleet.simulation().run(Duration.ofSeconds(1));
      assertEquals(Optional.of("done today"), call.plainBody());
      assertEquals(7, fleet.budget().charged());
    }

    @Test
    void doesNotMixTheAnswersOfTwoCallers() {
      FakeCall one = instance.callModel("mill", "drafts", NO_KEY, TIMEOUT);
      FakeCall other = instance.callModel("exporter", "wool/drafts", NO_KEY, TIMEOUT);
      untilEnded(one, other);
      fleet.simulation().run(Duration.ofSeconds(1));
      assertTrue(one.isComplete(5), one::toString);
      assertTrue(other.isComplete(5), other::toString);
      assertFalse(one.request().equals(other.request()));
      assertEquals(50, fleet.budget().charged());
    }

    @Test
    void sendsAllFramesTogetherToACallerThatWantsOneBody() {
      Payload payload = new Payload.ModelCall(new byte[] {1}, 40, OptionalLong.of(3), false);
      FakeCall call = instance.call("mill", "drafts", NO_KEY, TIMEOUT, payload);
      fleet.simulation().run(Duration.ofMillis(60));
      assertEquals(List.of(), call.frames());
      untilEnded(call);
      assertTrue(call.isComplete(3), call::toString);
    }

    @Test
    void producesTheSameCommandsForTheSameSeed() {
      List<String> first = transcriptOfSeed(7);
      assertEquals(first, transcriptOfSeed(7));
      assertEquals(5, first.stream().filter(line -> line.contains("FinishStream")).count());
      assertTrue(first.stream().anyMatch(line -> line.contains("Append")));
    }

    private List<String> transcriptOfSeed(long seed) {
      FakeFleet other = FakeFleet.withBudget(seed, 10_000);
      List<FakeInstance> pair = other.startReady("r1", "r2");
      for (int i = 0; i < 5; i++) {
        pair.get(i % 2).callModel("mill", "drafts", NO_KEY, TIMEOUT);
        other.simulation().run(Duration.ofMillis(30));
      }
      other.simulation().run(Duration.ofSeconds(2));
      List<String> both = new java.util.ArrayList<>(pair.getFirst().transcript());
      both.addAll(pair.getLast().transcript());
      return both;
    }
  }

  /**
   * Guards against wrong charges when the ledger has several streams. A team's settings and budget
   * are together on one of the streams.
   */
  @Test
  void aLedgerWithSeveralStreamsChargesCorrectly() {
    FakeFleet multiStreamFleet = FakeFleet.withBudget(1, 100_000, 5);
    List<FakeInstance> pair = multiStreamFleet.startReady("r1", "r2");
    for (int i = 0; i < 6; i++) {
      FakeCall call = pair.get(i % 2).callModel("mill", "drafts", NO_KEY, TIMEOUT);
      multiStreamFleet.simulation().runUntil(call::ended, TIMEOUT);
      assertTrue(call.isComplete(5), call::toString);
    }
    multiStreamFleet.simulation().run(Duration.ofSeconds(1));
    assertEquals(150, multiStreamFleet.budget().charged());
  }

  @Nested
  class Refusals {
    private final FakeInstance instance = fleet.startReady("r1").getFirst();

    private ErrorKind refusal(String token, String service, Optional<String> key) {
      FakeCall call = instance.callModel(token, service, key, TIMEOUT);
      untilEnded(call);
      assertEquals(0, fleet.runCount());
      return call.error().orElseThrow();
    }

    @Test
    void nameTheProblemOfTheToken() {
      assertEquals(ErrorKind.UNAUTHENTICATED, refusal("", "drafts", NO_KEY));
      assertEquals(ErrorKind.UNAUTHENTICATED, refusal("stolen", "drafts", NO_KEY));
      assertEquals(ErrorKind.FORBIDDEN, refusal("exporter", "holds", Optional.of("k")));
      assertEquals(ErrorKind.FORBIDDEN, refusal("mill", "harbour/drafts", NO_KEY));
    }

    /**
     * Guards against other teams diverting calls by listing the digest of the mill's token as their
     * own. The mill's calls still reach the mill's team and are charged to it.
     */
    @Test
    void areNotCausedByOtherTeamsThatListTheSameDigest() {
      fleet.publishTeamWithTokenOf("aaa", "mill");
      fleet.publishTeamWithTokenOf("zzz", "mill");
      fleet.simulation().run(Duration.ofSeconds(1));
      FakeCall call = instance.callModel("mill", "drafts", NO_KEY, TIMEOUT);
      FakeCall qualified = instance.callModel("mill", "wool/drafts", NO_KEY, TIMEOUT);
      untilEnded(call, qualified);
      assertTrue(call.isComplete(5), call::toString);
      assertTrue(qualified.isComplete(5), qualified::toString);
      fleet.simulation().run(Duration.ofSeconds(1));
      assertEquals(50, fleet.budget().charged());
    }

    @Test
    void nameTheProblemOfTheRequest() {
      assertEquals(ErrorKind.UNKNOWN_SERVICE, refusal("mill", "nothing", NO_KEY));
      assertEquals(ErrorKind.UNKNOWN_SERVICE, refusal("mill", "rates", NO_KEY));
      assertEquals(ErrorKind.MISSING_KEY, refusal("mill", "holds", NO_KEY));
      assertEquals(ErrorKind.MALFORMED_REQUEST, refusal("mill", "holds", Optional.of(" ")));
    }

    @Test
    void reportAnOutputCapAboveTheLimit() {
      Payload payload = new Payload.ModelCall(new byte[] {1}, 40, OptionalLong.of(61), true);
      FakeCall call = instance.call("mill", "drafts", NO_KEY, TIMEOUT, payload);
      untilEnded(call);
      assertEquals(Optional.of(ErrorKind.OUTPUT_TOO_LONG), call.error());
    }

    @Test
    void areSentByAnInstanceThatIsNotReady() {
      fleet.log().down = true;
      FakeInstance late = fleet.start("r2", "hal-syd");
      FakeCall call = late.callModel("mill", "drafts", NO_KEY, TIMEOUT);
      untilEnded(call);
      assertEquals(Optional.of(ErrorKind.NOT_READY), call.error());
      assertTrue(call.problem().orElseThrow().retryAfter().isPresent());
    }
  }

  @Nested
  class Servers {
    private final FakeInstance instance = fleet.startReady("r1").getFirst();

    /**
     * Guards against new work for a leaving server. The platform lists engine-a as leaving, and
     * then a stale copy of the list shows it as live again. Only engine-b may serve the callers.
     */
    @Test
    void thatLeaveGetNoNewWorkEvenIfAStaleListShowsThemLive() {
      fleet.serverOf("engine-a").leaving = true;
      fleet.simulation().run(Duration.ofSeconds(1));
      fleet.serverOf("engine-a").leaving = false;
      fleet.simulation().run(Duration.ofSeconds(1));
      for (int i = 0; i < 10; i++) {
        untilEnded(instance.callModel("mill", "drafts", NO_KEY, TIMEOUT));
      }
      assertEquals(0, fleet.serverOf("engine-a").runCount());
      assertEquals(10, fleet.serverOf("engine-b").runCount());
    }

    @Test
    void thatRefuseConnectionsAreSkippedWithoutAnError() {
      fleet.serverOf("engine-a").down = true;
      for (int i = 0; i < 6; i++) {
        FakeCall call = instance.callModel("mill", "drafts", NO_KEY, TIMEOUT);
        untilEnded(call);
        assertTrue(call.isComplete(5), call::toString);
      }
    }

    /**
     * Guards against refusals caused by the retry budget. Most plain servers are gone while the
     * list still contains them, and many callers arrive at once. Refused connections don't count as
     * retries, so the remaining server serves every caller.
     */
    @Test
    void thatRefuseConnectionsDoNotUseUpTheRetryBudget() {
      for (int i = 0; i < 5; i++) {
        fleet.addServer("desk-gone-" + i, "desks").down = true;
      }
      fleet.simulation().run(Duration.ofSeconds(30));
      FakeCall[] calls = new FakeCall[40];
      for (int i = 0; i < calls.length; i++) {
        calls[i] = instance.callPlain("mill", "rates", NO_KEY, TIMEOUT, "today");
      }
      untilEnded(calls);
      for (FakeCall call : calls) {
        assertEquals(Optional.of("done today"), call.plainBody(), call::toString);
      }
    }

    @Test
    void thatAreFullMakeRequestsWait() {
      FakeCall[] calls = new FakeCall[40];
      for (int i = 0; i < calls.length; i++) {
        calls[i] = instance.callModel("mill", "drafts", NO_KEY, TIMEOUT);
      }
      untilEnded(calls);
      for (FakeCall call : calls) {
        assertTrue(call.isComplete(5), call::toString);
      }
    }

    @Test
    void thatAreAllLeavingCauseARefusalAsNotRun() {
      fleet.serverOf("engine-a").leaving = true;
      fleet.serverOf("engine-b").leaving = true;
      fleet.simulation().run(Duration.ofSeconds(1));
      FakeCall call = instance.callModel("mill", "drafts", NO_KEY, TIMEOUT);
      untilEnded(call);
      assertEquals(Optional.of(ErrorKind.NO_BACKEND_SERVER), call.error());
      assertEquals(0, fleet.runCount());
    }

    /** Guards against frames that name another request than the caller's own. */
    @Test
    void sendFramesThatNameTheirRequest() {
      FakeCall call = instance.callModel("mill", "drafts", NO_KEY, TIMEOUT);
      untilEnded(call);
      String first = new String(FakeServer.frame(call.request().orElseThrow(), 0));
      assertEquals(first, call.frames().getFirst());
    }
  }
}
