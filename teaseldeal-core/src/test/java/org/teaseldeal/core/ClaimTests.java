package org.teaseldeal.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.teaseldeal.api.ErrorKind;
import org.teaseldeal.core.fake.FakeCall;
import org.teaseldeal.core.fake.FakeFleet;
import org.teaseldeal.core.fake.FakeInstance;
import org.teaseldeal.ledger.entry.Entry;

class ClaimTests {
  private static final Duration TIMEOUT = Duration.ofSeconds(20);

  private final FakeFleet fleet = FakeFleet.withBudget(1, 100_000);

  private FakeCall bid(FakeInstance instance, String key, String text) {
    return instance.callPlain("mill", "bids", Optional.of(key), TIMEOUT, text);
  }

  private FakeCall ended(FakeCall call) {
    boolean ended = fleet.simulation().runUntil(call::ended, Duration.ofSeconds(60));
    assertTrue(ended, call::toString);
    return call;
  }

  /**
   * Guards against a bid that runs twice when a caller sends it to two instances at the same
   * moment. Both instances append a claim, and the order of the log decides which one runs the bid.
   * The other caller gets an error or the stored answer.
   */
  @Test
  void onlyOneOfTwoInstancesRunsABidSentToBoth() {
    List<FakeInstance> pair = fleet.startReady("r1", "r2");
    FakeCall one = bid(pair.getFirst(), "lot-4", "12 leva");
    FakeCall other = bid(pair.getLast(), "lot-4", "12 leva");
    ended(one);
    ended(other);
    assertEquals(1, fleet.runCount());
    long answered =
        List.of(one, other).stream().filter(call -> call.plainBody().isPresent()).count();
    assertTrue(answered >= 1, one + " / " + other);
    fleet.simulation().run(Duration.ofSeconds(1));
    assertEquals(7, fleet.budget().charged());
  }

  @Test
  void aRepeatGetsTheStoredAnswer() {
    List<FakeInstance> pair = fleet.startReady("r1", "r2");
    FakeCall first = ended(bid(pair.getFirst(), "lot-4", "12 leva"));
    fleet.simulation().run(Duration.ofSeconds(1));
    FakeCall again = ended(bid(pair.getLast(), "lot-4", "12 leva"));
    assertEquals(Optional.of("done 12 leva"), first.plainBody());
    assertEquals(first.plainBody(), again.plainBody());
    assertEquals(1, fleet.runCount());
    fleet.simulation().run(Duration.ofSeconds(1));
    assertEquals(7, fleet.budget().charged());
  }

  /**
   * Guards against refusing a repeated bid while the log is down, although its answer is already in
   * the ledger.
   */
  @Test
  void aRepeatGetsTheStoredAnswerWhileTheLogIsDown() {
    List<FakeInstance> pair = fleet.startReady("r1", "r2");
    FakeCall first = ended(bid(pair.getFirst(), "lot-4", "12 leva"));
    fleet.simulation().run(Duration.ofSeconds(1));
    fleet.log().down = true;
    fleet.simulation().run(Duration.ofSeconds(6));
    FakeCall again = ended(bid(pair.getLast(), "lot-4", "12 leva"));
    assertEquals(first.plainBody(), again.plainBody(), again::toString);
    assertEquals(1, fleet.runCount());
  }

  @Test
  void aRepeatOfAModelCallGetsTheSameFrames() {
    FakeInstance instance = fleet.startReady("r1").getFirst();
    Optional<String> key = Optional.of("hold-9");
    FakeCall first = ended(instance.callModel("mill", "holds", key, TIMEOUT));
    fleet.simulation().run(Duration.ofSeconds(1));
    FakeCall again = ended(instance.callModel("mill", "holds", key, TIMEOUT));
    assertTrue(first.isComplete(5), first::toString);
    assertEquals(first.frames(), again.frames());
    assertEquals(first.usage(), again.usage());
    assertEquals(1, fleet.runCount());
  }

  @Test
  void aKeyWithAnotherBodyIsRefused() {
    FakeInstance instance = fleet.startReady("r1").getFirst();
    ended(bid(instance, "lot-4", "12 leva"));
    FakeCall other = ended(bid(instance, "lot-4", "15 leva"));
    assertEquals(Optional.of(ErrorKind.KEY_REUSED), other.error());
    assertEquals(1, fleet.runCount());
  }

  /**
   * Guards against running a bid whose claim can't be confirmed because the log is down. The bid is
   * refused at once.
   */
  @Test
  void aBidIsNotRunWhileTheLogIsDown() {
    FakeInstance instance = fleet.startReady("r1").getFirst();
    ended(bid(instance, "lot-1", "1 leva"));
    fleet.log().down = true;
    fleet.simulation().run(Duration.ofSeconds(6));
    FakeCall call = bid(instance, "lot-2", "12 leva");
    fleet.simulation().run(Duration.ofMillis(50));
    assertEquals(Optional.of(ErrorKind.LOG_UNAVAILABLE), call.error());
    assertEquals(1, fleet.runCount());
  }

  /**
   * Guards against mistaking a suspension of the process for an outage of the log. A bid that waits
   * meanwhile is run.
   */
  @Test
  void aBidThatArrivesDuringASuspensionIsRunAfterIt() {
    FakeInstance instance = fleet.startReady("r1").getFirst();
    ended(bid(instance, "lot-1", "1 lev"));
    instance.suspend();
    FakeCall call = bid(instance, "lot-2", "12 leva");
    fleet.simulation().run(Duration.ofSeconds(6));
    instance.resume();
    ended(call);
    assertEquals(Optional.of("done 12 leva"), call.plainBody(), call::toString);
  }

  /**
   * Guards against a claim that blocks later tries of the caller. The log is slow, and the caller's
   * deadline passes before the claim is read back, so the caller is told that the bid did not run.
   * The claim is then read back as won and released, and the next try runs the bid once.
   */
  @Test
  void aClaimWonTooLateIsReleasedAndTheNextTryRuns() {
    FakeInstance instance = fleet.startReady("r1").getFirst();
    ended(bid(instance, "lot-1", "1 leva"));
    fleet.log().oneWayDelay = Duration.ofMillis(600);
    FakeCall late =
        instance.callPlain("mill", "bids", Optional.of("lot-2"), Duration.ofMillis(300), "12 leva");
    ended(late);
    assertEquals(Optional.of(ErrorKind.EXPIRED_WAITING), late.error());
    fleet.log().oneWayDelay = Duration.ofMillis(2);
    fleet.simulation().run(Duration.ofSeconds(8));
    assertEquals(1, fleet.runCount());
    FakeCall again = ended(bid(instance, "lot-2", "12 leva"));
    assertEquals(Optional.of("done 12 leva"), again.plainBody());
    assertEquals(2, fleet.runCount());
  }

  /**
   * Guards against a claim that stays after no server received the bid. The bid is refused as not
   * run and its claim is released, so the next try runs it once the server is back.
   */
  @Test
  void aBidThatNoServerReceivedMayBeSentAgain() {
    FakeInstance instance = fleet.startReady("r1").getFirst();
    fleet.serverOf("desk-a").down = true;
    FakeCall first = ended(bid(instance, "lot-4", "12 leva"));
    assertEquals(Optional.of(ErrorKind.NO_BACKEND_SERVER), first.error());
    fleet.serverOf("desk-a").down = false;
    fleet.simulation().run(Duration.ofSeconds(2));
    FakeCall again = ended(bid(instance, "lot-4", "12 leva"));
    assertEquals(Optional.of("done 12 leva"), again.plainBody());
    assertEquals(1, fleet.runCount());
  }

  /**
   * Guards against running a bid twice after its server crashed with the bid in flight. Whether the
   * bid ran is unknown. The caller is told so, also on its next try at any instance.
   */
  @Test
  void aBidThatMayHaveRunIsNeverSentAgain() {
    List<FakeInstance> pair = fleet.startReady("r1", "r2");
    fleet.serverOf("desk-a").frameInterval = Duration.ofSeconds(5);
    FakeCall first = bid(pair.getFirst(), "lot-4", "12 leva");
    fleet.simulation().run(Duration.ofSeconds(1));
    fleet.serverOf("desk-a").crash();
    ended(first);
    assertEquals(Optional.of(ErrorKind.BACKEND_FAILED), first.error());
    fleet.serverOf("desk-a").down = false;
    fleet.simulation().run(Duration.ofSeconds(2));
    FakeCall again = ended(bid(pair.getLast(), "lot-4", "12 leva"));
    assertEquals(Optional.of(ErrorKind.OUTCOME_UNKNOWN), again.error());
    assertEquals(1, fleet.runCount());
  }

  /**
   * Guards against running a bid twice after its instance was killed. Another instance reports that
   * the bid is claimed, and that its outcome is unknown once an operator has retired the killed
   * incarnation.
   */
  @Test
  void aBidOfAKilledInstanceIsNeverSentAgain() {
    List<FakeInstance> pair = fleet.startReady("r1", "r2");
    fleet.serverOf("desk-a").frameInterval = Duration.ofSeconds(2);
    FakeCall first = bid(pair.getFirst(), "lot-4", "12 leva");
    fleet.simulation().run(Duration.ofSeconds(1));
    pair.getFirst().kill();
    assertTrue(first.ended());
    FakeCall second = ended(bid(pair.getLast(), "lot-4", "12 leva"));
    assertEquals(Optional.of(ErrorKind.ALREADY_CLAIMED), second.error());
    fleet.log().write("ops", new Entry.Retire(pair.getFirst().incarnation(), "ops"));
    fleet.simulation().run(Duration.ofSeconds(1));
    FakeCall third = ended(bid(pair.getLast(), "lot-4", "12 leva"));
    assertEquals(Optional.of(ErrorKind.OUTCOME_UNKNOWN), third.error());
    assertEquals(1, fleet.runCount());
  }

  /**
   * Guards against losing the answer of a bid whose caller's connection broke while it ran. The run
   * continues, and its answer is available for the caller's next try.
   */
  @Test
  void theAnswerOfABidWhoseCallerDisconnectedIsStoredForItsNextTry() {
    FakeInstance instance = fleet.startReady("r1").getFirst();
    fleet.serverOf("desk-a").frameInterval = Duration.ofSeconds(1);
    FakeCall first = bid(instance, "lot-4", "12 leva");
    fleet.simulation().run(Duration.ofMillis(500));
    instance.disconnect(first);
    fleet.simulation().run(Duration.ofSeconds(2));
    assertFalse(first.ended());
    FakeCall again = ended(bid(instance, "lot-4", "12 leva"));
    assertEquals(Optional.of("done 12 leva"), again.plainBody());
    assertEquals(1, fleet.runCount());
  }
}
