package org.teaseldeal.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.teaseldeal.api.ErrorKind;
import org.teaseldeal.core.event.InstanceEvent;
import org.teaseldeal.core.fake.FakeCall;
import org.teaseldeal.core.fake.FakeFleet;
import org.teaseldeal.core.fake.FakeInstance;
import org.teaseldeal.ledger.entry.Entry;

class LifecycleTests {
  private static final Duration TIMEOUT = Duration.ofSeconds(20);

  private final FakeFleet fleet = FakeFleet.withBudget(1, 100_000);

  private FakeCall draft(FakeInstance instance) {
    return instance.callModel("mill", "drafts", Optional.empty(), TIMEOUT);
  }

  private FakeCall ended(FakeCall call) {
    boolean ended = fleet.simulation().runUntil(call::ended, Duration.ofSeconds(60));
    assertTrue(ended, call::toString);
    return call;
  }

  @Nested
  class Drain {
    private final FakeInstance instance = fleet.startReady("r1").getFirst();

    /**
     * Guards against a drain that cuts off a stream or stops too early. The open stream is
     * completed, new callers are refused, the lease is returned, and only then may the process
     * exit.
     */
    @Test
    void finishesStreamsReturnsLeasesAndStops() {
      FakeCall open = draft(instance);
      fleet.simulation().run(Duration.ofMillis(120));
      instance.deliver(new InstanceEvent.DrainRequested());
      FakeCall late = ended(draft(instance));
      assertEquals(Optional.of(ErrorKind.DRAINING), late.error());
      assertFalse(instance.core().ready());
      ended(open);
      assertTrue(open.isComplete(5), open::toString);
      assertTrue(fleet.simulation().runUntil(instance::stopped, Duration.ofSeconds(10)));
      assertEquals(25, fleet.budget().charged());
      assertEquals(0, fleet.budget().leased());
      assertEquals(0, fleet.budget().writtenOff());
      assertTrue(fleet.ledger().ended(instance.incarnation()));
    }

    /**
     * Guards against a drain that waits for the log for ever. After a timeout the process exits,
     * and its lease stays in the ledger.
     */
    @Test
    void stopsWithoutTheLogAfterATimeout() {
      ended(draft(instance));
      fleet.log().down = true;
      instance.deliver(new InstanceEvent.DrainRequested());
      assertTrue(fleet.simulation().runUntil(instance::stopped, Duration.ofSeconds(60)));
      assertTrue(fleet.budget().leased() > 0);
    }
  }

  @Nested
  class Charges {
    private final List<FakeInstance> pair = fleet.startReady("r1", "r2");

    /**
     * Guards against a charge that is lost when its instance is killed while the log is down. The
     * caller gets its answer once a peer stores the charge. The peer appends the charge when the
     * log is back, and it counts once.
     */
    @Test
    void ofAKilledInstanceAreAppendedByThePeerThatStoresThem() {
      ended(draft(pair.getFirst()));
      fleet.simulation().run(Duration.ofSeconds(1));
      fleet.log().down = true;
      FakeCall call = ended(draft(pair.getFirst()));
      assertTrue(call.isComplete(5), call::toString);
      assertEquals(0, pair.getFirst().core().counters().value(Counter.CHARGES_UNCONFIRMED));
      pair.getFirst().kill();
      fleet.simulation().run(Duration.ofSeconds(10));
      fleet.log().down = false;
      fleet.simulation().run(Duration.ofSeconds(10));
      assertEquals(50, fleet.budget().charged());
      assertEquals(Optional.empty(), fleet.ledger().findImbalance());
    }

    /**
     * Guards against a charge that counts twice. An instance is suspended until its peer appends
     * its charge, then resumes and appends the charge too.
     */
    @Test
    void thatTwoInstancesAppendCountOnce() {
      ended(draft(pair.getFirst()));
      fleet.simulation().run(Duration.ofSeconds(1));
      fleet.log().down = true;
      ended(draft(pair.getFirst()));
      pair.getFirst().suspend();
      fleet.simulation().run(Duration.ofSeconds(10));
      fleet.log().down = false;
      fleet.simulation().run(Duration.ofSeconds(10));
      pair.getFirst().resume();
      fleet.simulation().run(Duration.ofSeconds(10));
      assertEquals(1, pair.getLast().core().counters().value(Counter.BACKUPS_APPENDED));
      assertEquals(50, fleet.budget().charged());
    }

    /**
     * Guards against an answer that waits for ever because the log is down and no peer can store
     * its charge. After a short timeout the caller receives it.
     */
    @Test
    void thatNoPeerCanStoreDoNotWithholdTheAnswer() {
      ended(draft(pair.getFirst()));
      pair.getLast().kill();
      fleet.log().down = true;
      fleet.simulation().run(Duration.ofSeconds(5));
      FakeCall call = ended(draft(pair.getFirst()));
      assertTrue(call.isComplete(5), call::toString);
      assertEquals(1, pair.getFirst().core().counters().value(Counter.CHARGES_UNCONFIRMED));
    }
  }

  @Nested
  class Start {
    /**
     * Guards against an instance that can't start while the log is down. It takes the state from a
     * peer and serves with tokens drawn from it. When the log is back, it reads on from that state.
     */
    @Test
    void withoutTheLogRestoresTheStateOfAPeer() {
      FakeInstance old = fleet.startReady("r1").getFirst();
      ended(draft(old));
      fleet.log().down = true;
      FakeInstance fresh = fleet.startReady("r2").getFirst();
      FakeCall call = ended(draft(fresh));
      assertTrue(call.isComplete(5), call::toString);
      fleet.log().down = false;
      fleet.simulation().run(Duration.ofSeconds(20));
      assertEquals(50, fleet.budget().charged());
    }

    /**
     * Checks that an instance without peers and without the log isn't ready and gives the reason.
     */
    @Test
    void withoutLogAndPeersIsNotReady() {
      fleet.log().down = true;
      FakeInstance instance = fleet.start("r1", "hal-nord");
      fleet.simulation().run(Duration.ofSeconds(10));
      assertFalse(instance.core().ready());
      assertFalse(instance.core().dump().readiness().isEmpty());
    }
  }

  /**
   * Guards against lost streams and charges when an operator retires an instance that was only
   * suspended. After resuming, the instance reads that it was retired, completes its stream,
   * accepts no new work and stops. Its charge still counts.
   */
  @Test
  void aRetiredInstanceFinishesItsStreamsAndStops() {
    List<FakeInstance> pair = fleet.startReady("r1", "r2");
    for (String engine : List.of("engine-a", "engine-b")) {
      fleet.serverOf(engine).frames = 20;
      fleet.serverOf(engine).frameInterval = Duration.ofMillis(500);
    }
    FakeCall open = draft(pair.getFirst());
    fleet.simulation().run(Duration.ofMillis(600));
    pair.getFirst().suspend();
    fleet.log().write("ops", new Entry.Retire(pair.getFirst().incarnation(), "ops"));
    fleet.simulation().run(Duration.ofSeconds(5));
    pair.getFirst().resume();
    fleet.simulation().run(Duration.ofMillis(20));
    FakeCall late = ended(draft(pair.getFirst()));
    assertEquals(Optional.of(ErrorKind.NOT_READY), late.error(), late::toString);
    ended(open);
    assertTrue(open.isComplete(20), open::toString);
    assertTrue(
        fleet.simulation().runUntil(pair.getFirst()::stopped, Duration.ofSeconds(60)),
        () -> pair.getFirst().core().dump().toString());
    fleet.simulation().run(Duration.ofSeconds(10));
    assertEquals(40, fleet.budget().charged());
    assertEquals(Optional.empty(), fleet.ledger().findImbalance());
  }

  /**
   * Guards against new work for a leaving server from an instance whose list is out of date. The
   * instance that reads the new list notifies its peer.
   */
  @Test
  void aLeavingServerIsReportedToPeersWithAnOldList() {
    List<FakeInstance> pair = fleet.startReady("r1", "r2");
    fleet.freezeListOf(pair.getLast());
    fleet.serverOf("engine-a").leaving = true;
    fleet.simulation().run(Duration.ofSeconds(1));
    for (int i = 0; i < 8; i++) {
      ended(draft(pair.getLast()));
    }
    assertEquals(0, fleet.serverOf("engine-a").runCount());
  }
}
