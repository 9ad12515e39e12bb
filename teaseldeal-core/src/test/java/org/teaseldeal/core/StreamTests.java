package org.teaseldeal.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.teaseldeal.api.AttemptId;
import org.teaseldeal.api.ErrorKind;
import org.teaseldeal.api.RequestId;
import org.teaseldeal.core.event.InstanceEvent;
import org.teaseldeal.core.fake.FakeCall;
import org.teaseldeal.core.fake.FakeFleet;
import org.teaseldeal.core.fake.FakeInstance;
import org.teaseldeal.core.fake.FakeServer;

class StreamTests {
  private static final Duration TIMEOUT = Duration.ofSeconds(20);

  private final FakeFleet fleet = FakeFleet.withBudget(1, 100_000);
  private final FakeInstance instance = fleet.startReady("r1").getFirst();

  private FakeCall draft() {
    return instance.callModel("mill", "drafts", Optional.empty(), TIMEOUT);
  }

  private FakeCall ended(FakeCall call) {
    boolean ended = fleet.simulation().runUntil(call::ended, Duration.ofSeconds(60));
    assertTrue(ended, call::toString);
    return call;
  }

  private void runUntilFrames(FakeCall call, int count) {
    boolean received =
        fleet.simulation().runUntil(() -> call.frames().size() >= count, Duration.ofSeconds(10));
    assertTrue(received, call::toString);
  }

  private FakeServer servingEngine() {
    return fleet.serverOf("engine-a").runCount() > 0
        ? fleet.serverOf("engine-a")
        : fleet.serverOf("engine-b");
  }

  /**
   * Guards against late and misdirected frames in a caller's answer. Frames of an unknown attempt,
   * and repeated and skipped positions of the right one, arrive in mid-stream.
   */
  @Test
  void lateAndMisdirectedFramesNeverReachACaller() {
    FakeCall call = draft();
    runUntilFrames(call, 2);
    AttemptId currentAttempt = new AttemptId(instance.incarnation(), 1);
    AttemptId unknownAttempt = new AttemptId(instance.incarnation(), 99);
    byte[] other = FakeServer.frame(new RequestId("another"), 2);
    instance.deliver(new InstanceEvent.FrameReceived(unknownAttempt, 2, other));
    instance.deliver(new InstanceEvent.FrameReceived(currentAttempt, 0, other));
    instance.deliver(new InstanceEvent.FrameReceived(currentAttempt, 4, other));
    ended(call);
    assertTrue(call.isComplete(5), call::toString);
    assertEquals(3, instance.core().counters().value(Counter.DROPPED_FRAMES));
  }

  /**
   * Guards against a lost or repeated part of an answer when a connection goes silent in mid-stream
   * while new connections work. The answer is resumed on a new connection from the exact position,
   * and the caller pays once.
   */
  @Test
  void aSilentStreamIsResumedFromTheExactPosition() {
    FakeCall call = draft();
    runUntilFrames(call, 2);
    FakeServer engine = servingEngine();
    engine.silent = true;
    fleet.simulation().run(Duration.ofMillis(1_500));
    engine.silent = false;
    // The old connection is lost for good, so only a new one can deliver the rest.
    engine.forgetConnections();
    ended(call);
    assertTrue(call.isComplete(5), call::toString);
    assertEquals(1, engine.runCount());
    assertTrue(instance.core().counters().value(Counter.RESUMES) >= 1);
    fleet.simulation().run(Duration.ofSeconds(1));
    assertEquals(25, fleet.budget().charged());
  }

  /**
   * Guards against an incomplete answer that looks complete when its engine crashes in mid-stream.
   * What the caller has received can't be continued elsewhere, so the stream ends with an error.
   * Its tokens are written off and not charged.
   */
  @Test
  void aStreamWhoseEngineCrashesEndsWithAnError() {
    FakeCall call = draft();
    runUntilFrames(call, 2);
    servingEngine().crash();
    ended(call);
    assertEquals(Optional.of(ErrorKind.STREAM_BROKEN), call.error());
    assertTrue(call.broken());
    fleet.simulation().run(Duration.ofSeconds(70));
    assertEquals(0, fleet.budget().charged());
    assertEquals(100, fleet.budget().writtenOff());
  }

  /**
   * Guards against an error that a retry can avoid: the engine crashes before the first frame, and
   * the idempotent request runs on another engine.
   */
  @Test
  void anEngineThatCrashesBeforeTheFirstFrameIsReplaced() {
    fleet.serverOf("engine-a").frameInterval = Duration.ofMillis(500);
    fleet.serverOf("engine-b").frameInterval = Duration.ofMillis(500);
    FakeCall call = draft();
    fleet.simulation().run(Duration.ofMillis(300));
    FakeServer first = servingEngine();
    first.crash();
    ended(call);
    assertTrue(call.isComplete(5), call::toString);
    fleet.simulation().run(Duration.ofSeconds(1));
    assertEquals(25, fleet.budget().charged());
  }

  /**
   * Guards against a run that continues after its caller closed the connection in mid-stream. The
   * engine is told to stop, and only the tokens used so far are charged, not the whole reservation.
   */
  @Test
  void aDisconnectedCallerStopsTheEngineAndIsChargedForTheUsage() {
    FakeCall call = draft();
    runUntilFrames(call, 2);
    instance.disconnect(call);
    fleet.simulation().run(Duration.ofSeconds(2));
    assertTrue(servingEngine().cancelled(call.request().orElseThrow()));
    long charged = fleet.budget().charged();
    assertTrue(charged >= 22 && charged <= 24, "charged " + charged);
    assertEquals(0, fleet.budget().writtenOff());
  }

  /**
   * Guards against cutting off a caller that shares a run. Two calls with one idempotency key are
   * joined to one run at an engine, and the first caller closes its connection.
   */
  @Test
  void aDisconnectedCallerDoesNotCutOffAnotherCallerOfTheSameRun() {
    fleet.serverOf("engine-b").leaving = true;
    fleet.simulation().run(Duration.ofSeconds(1));
    Optional<String> key = Optional.of("draft-7");
    FakeCall first = instance.callModel("mill", "drafts", key, TIMEOUT);
    FakeCall second = instance.callModel("mill", "drafts", key, TIMEOUT);
    runUntilFrames(second, 2);
    instance.disconnect(first);
    ended(second);
    assertTrue(second.isComplete(5), second::toString);
    assertEquals(1, fleet.runCount());
  }

  /**
   * Guards against a stream that silently continues past its deadline: the caller gets an error and
   * the engine is told to stop.
   */
  @Test
  void aStreamPastItsDeadlineEndsWithAnError() {
    fleet.serverOf("engine-a").frameInterval = Duration.ofMillis(400);
    fleet.serverOf("engine-b").frameInterval = Duration.ofMillis(400);
    FakeCall call = instance.callModel("mill", "drafts", Optional.empty(), Duration.ofSeconds(1));
    ended(call);
    assertEquals(Optional.of(ErrorKind.DEADLINE_PASSED), call.error());
    assertTrue(call.broken());
    fleet.simulation().run(Duration.ofSeconds(1));
    assertTrue(servingEngine().cancelled(call.request().orElseThrow()));
  }

  /**
   * Guards against a request that crashes every engine that runs it, while its caller sends it
   * again through another instance. After two engines it is refused everywhere, and the third
   * engine survives.
   */
  @Test
  void aRequestThatCrashesEnginesIsQuarantinedFleetWide() {
    FakeInstance second = fleet.startReady("r2").getFirst();
    FakeServer third = fleet.addServer("engine-c", "engines");
    fleet.serverOf("engine-a").crashPrompt = "prompt of -";
    fleet.serverOf("engine-b").crashPrompt = "prompt of -";
    third.crashPrompt = "prompt of -";
    FakeCall first = ended(draft());
    fleet.simulation().run(Duration.ofMillis(200));
    FakeCall again = ended(second.callModel("mill", "drafts", Optional.empty(), TIMEOUT));
    fleet.simulation().run(Duration.ofMillis(200));
    FakeCall more = ended(instance.callModel("mill", "drafts", Optional.empty(), TIMEOUT));
    assertEquals(Optional.of(ErrorKind.QUARANTINED), more.error(), more::toString);
    assertEquals(Optional.of(ErrorKind.QUARANTINED), again.error(), again::toString);
    assertTrue(first.error().isPresent());
    long gone =
        List.of("engine-a", "engine-b", "engine-c").stream()
            .filter(id -> fleet.serverOf(id).down)
            .count();
    assertEquals(2, gone);
  }
}
