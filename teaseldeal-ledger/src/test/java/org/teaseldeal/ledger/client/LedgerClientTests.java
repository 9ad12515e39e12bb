package org.teaseldeal.ledger.client;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.teaseldeal.ledger.LedgerFixtures.A;
import static org.teaseldeal.ledger.LedgerFixtures.B;
import static org.teaseldeal.ledger.LedgerFixtures.DRAFTS;
import static org.teaseldeal.ledger.LedgerFixtures.OPERATOR;
import static org.teaseldeal.ledger.LedgerFixtures.TEAM_BUDGET;
import static org.teaseldeal.ledger.LedgerFixtures.budget;
import static org.teaseldeal.ledger.LedgerFixtures.charge;
import static org.teaseldeal.ledger.LedgerFixtures.claim;
import static org.teaseldeal.ledger.LedgerFixtures.join;
import static org.teaseldeal.ledger.LedgerFixtures.lease;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.teaseldeal.api.IncarnationId;
import org.teaseldeal.ledger.LogCommand;
import org.teaseldeal.ledger.LogEvent;
import org.teaseldeal.ledger.LogRecord;
import org.teaseldeal.ledger.codec.Batch;
import org.teaseldeal.ledger.codec.BatchCodec;
import org.teaseldeal.ledger.entry.Entry;
import org.teaseldeal.ledger.outcome.Outcome;
import org.teaseldeal.ledger.snapshot.SnapshotChunks;
import org.teaseldeal.ledger.snapshot.SnapshotConfig;

/**
 * Guards against entries that the client loses or submits twice, and against state that skips
 * records, when the log is faulty.
 */
class LedgerClientTests {
  private static final LedgerConfig CONFIG = LedgerConfig.DEFAULT;

  private final ManualClock clock = new ManualClock();
  private final FakeLog log = new FakeLog(clock);
  private final TestClient a = newClient(A, CONFIG);

  private TestClient newClient(IncarnationId incarnation, LedgerConfig config) {
    return new TestClient(incarnation, config, log, clock);
  }

  @BeforeEach
  void createBudget() {
    append(OPERATOR, 1, budget(TEAM_BUDGET, 1_000));
  }

  private void append(IncarnationId writer, long sequence, Entry... entries) {
    log.append(BatchCodec.encode(new Batch(writer, sequence, -1, List.of(entries))));
  }

  /** Carries out the appends of one tick and leaves its reads unanswered. */
  private void appendOnly() {
    a.ledger.poll().stream().filter(LogCommand.Append.class::isInstance).forEach(log::execute);
  }

  @Nested
  class GroupCommit {
    @Test
    void gathersEntriesUntilTheFlushInterval() {
      Ticket first = a.ledger.submit(join(A));
      Ticket second = a.ledger.submit(charge(A, 1, DRAFTS, A, 1));
      a.runFor(Duration.ofMillis(90));
      assertEquals(0, a.ledger.counters().appends());

      a.runFor(Duration.ofMillis(30));

      assertEquals(1, a.ledger.counters().appends());
      assertInstanceOf(Outcome.Joined.class, a.outcome(first).orElseThrow());
      assertInstanceOf(Outcome.Rejected.class, a.outcome(second).orElseThrow());
      assertTrue(a.ledger.idle());
    }

    @Test
    void sendsUrgentEntriesAtOnceTogetherWithQueuedOnes() {
      a.ledger.submit(join(A));
      Ticket lease = a.ledger.submit(lease(DRAFTS, 10, 10));
      a.tick();
      a.tick();

      assertEquals(Optional.of(new Outcome.LeaseGranted(DRAFTS, 10)), a.outcome(lease));
      assertEquals(1, a.ledger.counters().appends());
    }

    @Test
    void keepsOneRecordInFlightAndBoundsItsSize() {
      log.losesAcknowledgements = true;
      a.ledger.submit(lease(DRAFTS, 1, 1));
      long appends = a.ledger.poll().stream().filter(LogCommand.Append.class::isInstance).count();
      String large = "x".repeat(CONFIG.appends().maxBatchBytes());
      a.ledger.submit(claim("first", large));
      a.ledger.submit(claim("second", large));

      assertEquals(1, appends);
      assertTrue(a.ledger.poll().isEmpty());
      assertTrue(a.ledger.appendOutstandingFor(Duration.ZERO));
    }
  }

  @Nested
  class LostAcknowledgements {
    /**
     * An append takes effect, but its acknowledgement is lost. Once the record is read back, its
     * outcome must be known and nothing may be appended again.
     */
    @Test
    void anOutcomeIsReadBackWithoutAnAcknowledgement() {
      log.losesAcknowledgements = true;

      assertEquals(new Outcome.LeaseGranted(DRAFTS, 10), a.submitAndAwait(lease(DRAFTS, 10, 10)));
      a.runFor(Duration.ofSeconds(10));
      assertEquals(1, a.ledger.counters().appends());
    }

    /**
     * The log is unreachable, so it is unknown whether an append took effect. The same bytes must
     * be appended at growing intervals until they are read back, and be applied once.
     */
    @Test
    void aFailedAppendIsRepeatedUnchangedUntilItIsReadBack() {
      log.unreachable = true;
      Ticket lease = a.ledger.submit(lease(DRAFTS, 10, 10));
      a.runFor(Duration.ofSeconds(20));
      long attempts = a.ledger.counters().appends();
      assertTrue(attempts > 3 && attempts < 25, "appends were " + attempts);
      assertFalse(a.ledger.logReachable());
      assertTrue(a.ledger.appendOutstandingFor(Duration.ofSeconds(19)));

      log.unreachable = false;
      a.runFor(Duration.ofSeconds(10));

      assertEquals(Optional.of(new Outcome.LeaseGranted(DRAFTS, 10)), a.outcome(lease));
      assertEquals(10, a.ledger.state().leased(DRAFTS, A));
      assertTrue(a.ledger.logReachable());
    }

    /**
     * An append takes effect but reads fail for longer than the timeout, so the record is appended
     * again and is on the log twice. Both copies are read back later, and only one may be applied.
     */
    @Test
    void aRepeatedRecordIsAppliedOnce() {
      a.runFor(Duration.ofMillis(50));
      Ticket lease = a.ledger.submit(lease(DRAFTS, 10, 10));
      appendOnly();
      clock.advance(CONFIG.appends().timeout());
      appendOnly();
      assertEquals(3, log.nextOffset());
      assertArrayEquals(log.records.get(1).payload(), log.records.get(2).payload());

      a.runFor(Duration.ofSeconds(5));

      assertEquals(Optional.of(new Outcome.LeaseGranted(DRAFTS, 10)), a.outcome(lease));
      assertEquals(10, a.ledger.state().leased(DRAFTS, A));
      assertEquals(1, a.ledger.counters().fold().repeats());
    }
  }

  @Nested
  class BrokenLogs {
    /**
     * The log acknowledges an append with an offset but loses the record, and another record gets
     * that offset. Once that offset has been folded, the acknowledgement is known to be wrong, and
     * the normal timeout must apply again.
     */
    @Test
    void anAcknowledgedButMissingRecordIsAppendedAgain() {
      a.runFor(Duration.ofMillis(50));
      Ticket lease = a.ledger.submit(lease(DRAFTS, 10, 10));
      LogCommand.Append append = (LogCommand.Append) a.ledger.poll().getFirst();
      a.ledger.handle(
          new LogEvent.AppendAcknowledged(TestClient.STREAM, append.token(), log.nextOffset()));
      append(B, 1, join(B));
      a.runFor(Duration.ofSeconds(5));

      assertEquals(Optional.of(new Outcome.LeaseGranted(DRAFTS, 10)), a.outcome(lease));
    }

    /**
     * After an outage the log has fewer records than were read from it. The client must keep its
     * state, since nothing that was accepted may be undone, and must report the problem.
     */
    @Test
    void aLogThatLostRecordsIsReported() {
      a.submitAndAwait(lease(DRAFTS, 10, 10));
      log.records.removeLast();
      a.runFor(Duration.ofSeconds(4));

      assertTrue(a.ledger.problem().orElseThrow().contains("the log ends at offset 1"));
      assertEquals(10, a.ledger.state().leased(DRAFTS, A));
    }

    /**
     * The answer to a read arrives after that of a later read. It names an end of the log that lies
     * before the folded offset, which must not be reported as lost records.
     */
    @Test
    void aStaleReadAnswerIsNotReportedAsLostRecords() {
      a.submitAndAwait(lease(DRAFTS, 10, 10));
      a.ledger.handle(new LogEvent.RecordsRead(TestClient.STREAM, 0, log.records, 0, 1));

      assertEquals(Optional.empty(), a.ledger.problem());
    }
  }

  @Nested
  class ClockSteps {
    /**
     * An append is lost, and the instance's clock is set back by an hour before the timeout ends.
     * The record must be appended again after the timeout, not an hour later.
     */
    @Test
    void backwardsDoNotDelayARepeatedAppend() {
      log.unreachable = true;
      Ticket lease = a.ledger.submit(lease(DRAFTS, 10, 10));
      a.ledger.poll();
      clock.advance(Duration.ofHours(-1));
      log.unreachable = false;
      a.runFor(Duration.ofSeconds(5));

      assertEquals(Optional.of(new Outcome.LeaseGranted(DRAFTS, 10)), a.outcome(lease));
      assertFalse(a.ledger.lastContact().orElseThrow().isAfter(clock.instant()));
    }
  }

  @Nested
  class RetiredIncarnation {
    /**
     * An operator retires an instance that still runs. The instance must notice it, accept no more
     * entries, and drop those not yet appended, because its records would be ignored.
     */
    @Test
    void isReportedAndRefusesFurtherEntries() {
      a.submitAndAwait(lease(DRAFTS, 10, 10));
      Ticket queued = a.ledger.submit(charge(A, 1, DRAFTS, A, 1));
      append(OPERATOR, 2, new Entry.Retire(A, "ops"));
      a.tick();

      assertTrue(a.ledger.retired());
      assertThrows(IllegalStateException.class, () -> a.ledger.submit(lease(DRAFTS, 1, 1)));
      assertEquals(List.of(queued), a.ledger.drainLostTickets());
      assertEquals(List.of(), a.ledger.drainLostTickets());
    }

    /**
     * Two processes run under one incarnation id by mistake. Each would take the other's records
     * for its own, so a client must stop when it reads a record under its id that it did not write.
     */
    @Test
    void isAssumedAfterReadingOwnRecordsThatItDidNotWrite() {
      append(A, 1, join(A));
      a.tick();

      assertTrue(a.ledger.retired());
      assertTrue(a.ledger.problem().orElseThrow().contains("another process"));
    }
  }

  @Nested
  class ForgottenWriter {
    /**
     * A process that never joined is silent for longer than the key retention, so the fold has
     * removed its sequence number. The fold would ignore all its further records as following a
     * gap, so the client must stop and report why.
     */
    @Test
    void stopsInsteadOfAppendingForever() {
      a.submitAndAwait(lease(DRAFTS, 10, 10));
      append(OPERATOR, 2, new Entry.ReturnLease(DRAFTS, A, 10));
      clock.advance(Duration.ofDays(8));
      append(B, 1, join(B));
      a.runFor(Duration.ofMillis(50));

      assertTrue(a.ledger.retired());
      assertTrue(a.ledger.problem().orElseThrow().contains("forgotten"));
    }
  }

  @Nested
  class ExpiredOffsets {
    private final LedgerConfig frequentSnapshots =
        CONFIG.withSnapshots(
            new SnapshotConfig(200, Duration.ofHours(1), 40, Duration.ofSeconds(1)));

    /**
     * An instance starts after the first records of the log have expired. It must restore the
     * latest complete snapshot, fold the records after it, and reach the same state as instances
     * that read all records.
     */
    @Test
    void areBridgedByTheLatestCompleteSnapshot() {
      TestClient writer = newClient(B, frequentSnapshots);
      writer.submitAndAwait(join(B));
      for (int i = 1; i <= 60; i++) {
        writer.submitAndAwait(lease(DRAFTS, 3, 3));
      }
      assertTrue(writer.ledger.state().snapshot().epoch() > 0);
      log.expireBefore(writer.ledger.state().snapshot().coveredOffset() + 1);

      a.runFor(Duration.ofSeconds(1));

      assertTrue(a.ledger.caughtUp());
      assertEquals(Optional.empty(), a.ledger.problem());
      assertEquals(1, a.ledger.counters().gaps());
      assertArrayEquals(writer.ledger.exportState(), a.ledger.exportState());
    }

    /**
     * A log keeps many more records than lie between two snapshots. A new instance must search for
     * the latest snapshot near the end; if it read all records first, it would become ready much
     * too late.
     */
    @Test
    void areBridgedWithoutReadingTheWholeLog() {
      byte[] state = stateAfter(3_000);
      append(B, 3_000, SnapshotChunks.of(2_999, state, 100_000).getFirst());
      log.expireBefore(10);
      long servedBefore = log.recordsServed;
      TestClient fresh = newClient(new IncarnationId("c-1"), frequentSnapshots);
      fresh.runFor(Duration.ofSeconds(1));

      assertTrue(fresh.ledger.caughtUp());
      assertEquals(80 + 1, log.recordsServed - servedBefore);
      assertEquals(1, fresh.ledger.counters().fold().records());
    }

    /**
     * No snapshot has been written for a long time, so there is none near the end. The search must
     * go further back, up to the earliest record kept, before it reports that there is none.
     */
    @Test
    void areBridgedByAnOldSnapshotIfThereIsNoLaterOne() {
      byte[] state = stateAfter(3);
      append(B, 3, SnapshotChunks.of(2, state, 100_000).getFirst());
      for (int sequence = 4; sequence < 1_000; sequence++) {
        append(B, sequence, lease(DRAFTS, 1, 1));
      }
      log.expireBefore(3);
      TestClient fresh = newClient(new IncarnationId("c-1"), frequentSnapshots);
      fresh.runFor(Duration.ofSeconds(1));

      assertTrue(fresh.ledger.caughtUp());
      assertEquals(998, fresh.ledger.state().leased(DRAFTS, B));
    }

    /**
     * Records have expired and no complete snapshot covers them. Folding the remaining records
     * would produce wrong budgets, so the client must keep its offset and report why.
     */
    @Test
    void withoutASnapshotKeepTheClientFromCatchingUp() {
      for (int sequence = 1; sequence <= 10; sequence++) {
        append(B, sequence, lease(DRAFTS, 1, 1));
      }
      log.expireBefore(5);
      a.runFor(Duration.ofSeconds(1));

      assertFalse(a.ledger.caughtUp());
      assertEquals(-1, a.ledger.foldedTo());
      assertTrue(a.ledger.problem().orElseThrow().contains("no whole snapshot"));
    }

    /**
     * The bytes of the only snapshot on the log do not match its digest. It must be ignored like an
     * incomplete one, and a later intact snapshot must be used.
     */
    @Test
    void areNotBridgedByASnapshotWithAWrongDigest() {
      byte[] state = stateAfter(3);
      Entry.SnapshotChunk intact = SnapshotChunks.of(2, state, 100_000).getFirst();
      byte[] flipped = state.clone();
      flipped[flipped.length / 2] ^= 1;
      append(B, 3, new Entry.SnapshotChunk(2, 0, 1, intact.digest(), flipped));
      log.expireBefore(3);
      a.runFor(Duration.ofSeconds(1));
      assertFalse(a.ledger.caughtUp());
      assertEquals(1, a.ledger.counters().corruptSnapshots());

      append(B, 4, intact);
      a.runFor(Duration.ofSeconds(1));

      assertTrue(a.ledger.caughtUp());
      assertEquals(2, a.ledger.state().leased(DRAFTS, B));
    }

    /**
     * An instance is disconnected for longer than the log's retention, and one of its own records
     * is among the expired ones. That record's outcome can't be known any more, so its ticket must
     * be reported as lost instead of staying open.
     */
    @Test
    void thatIncludeAnOwnRecordLoseItsTicket() {
      byte[] state = stateAfter(3);
      a.runFor(Duration.ofMillis(50));
      Ticket lease = a.ledger.submit(lease(DRAFTS, 5, 5));
      appendOnly();
      TestClient other = newClient(new IncarnationId("c-1"), CONFIG);
      other.runFor(Duration.ofMillis(50));
      byte[] after = other.ledger.exportState();
      assertTrue(after.length > state.length);
      append(B, 3, SnapshotChunks.of(other.ledger.foldedTo(), after, 100_000).getFirst());
      log.expireBefore(log.nextOffset() - 1);

      a.runFor(Duration.ofSeconds(5));

      assertEquals(5, a.ledger.state().leased(DRAFTS, A));
      assertEquals(List.of(lease), a.ledger.drainLostTickets());
      assertTrue(a.ledger.idle());
    }

    /**
     * The log still holds a complete snapshot, but a record between its covered offset and the
     * earliest kept record has expired. Restoring it would skip that record, so it must not be
     * used.
     */
    @Test
    void areNotBridgedByASnapshotThatIsFollowedByAGap() {
      byte[] state = stateAfter(3);
      append(B, 3, lease(DRAFTS, 1, 1));
      append(B, 4, SnapshotChunks.of(2, state, 100_000).getFirst());
      log.expireBefore(4);
      a.runFor(Duration.ofSeconds(1));

      assertFalse(a.ledger.caughtUp());
      assertEquals(-1, a.ledger.foldedTo());
      assertTrue(a.ledger.problem().orElseThrow().contains("no whole snapshot"));
    }

    /**
     * The client searches for a snapshot when the answer to an earlier read arrives late. That
     * answer does not describe the current log, so it must not end the search.
     */
    @Test
    void areStillSearchedAfterAStaleReadAnswer() {
      a.ledger.poll();
      a.ledger.handle(new LogEvent.OffsetExpired(TestClient.STREAM, 0, 5, 10));
      a.ledger.handle(new LogEvent.RecordsRead(TestClient.STREAM, 0, List.of(), 0, 1));

      assertEquals(Optional.of("records before offset 5 have expired"), a.ledger.problem());
    }

    /**
     * The answer to a read lacks a record. The records after it must not be folded, because the
     * state would differ from that of other readers; the client must read again from the missing
     * one.
     */
    @Test
    void andMissingRecordsInAnAnswerAreNeverSkipped() {
      append(B, 1, lease(DRAFTS, 1, 1));
      append(B, 2, lease(DRAFTS, 1, 1));
      a.ledger.poll();
      List<LogRecord> withGap = List.of(log.records.get(0), log.records.get(2));
      a.ledger.handle(new LogEvent.RecordsRead(TestClient.STREAM, 0, withGap, 0, 3));

      assertEquals(0, a.ledger.foldedTo());
      assertEquals(1, a.ledger.counters().gaps());
      assertFalse(a.ledger.caughtUp());
      a.runFor(Duration.ofSeconds(1));
      assertEquals(2, a.ledger.foldedTo());
    }

    private byte[] stateAfter(int records) {
      for (int sequence = 1; log.nextOffset() < records; sequence++) {
        append(B, sequence, lease(DRAFTS, 1, 1));
      }
      TestClient reader = newClient(new IncarnationId("reader"), CONFIG);
      reader.runFor(Duration.ofSeconds(1));
      assertEquals(log.nextOffset() - 1, reader.ledger.foldedTo());
      return reader.ledger.exportState();
    }
  }

  @Nested
  class RestoredPeerState {
    /**
     * The log is unreachable while an instance starts. The instance restores a peer's state, counts
     * as caught up, and continues from there when the log is reachable again.
     */
    @Test
    void replacesTheLogDuringAnOutage() {
      TestClient peer = newClient(B, CONFIG);
      peer.submitAndAwait(lease(DRAFTS, 7, 7));
      log.unreachable = true;
      a.runFor(Duration.ofMillis(100));
      assertFalse(a.ledger.caughtUp());

      a.ledger.restore(peer.ledger.exportState());
      assertTrue(a.ledger.caughtUp());
      assertEquals(7, a.ledger.state().leased(DRAFTS, B));

      log.unreachable = false;
      peer.submitAndAwait(lease(DRAFTS, 1, 1));
      a.runFor(Duration.ofSeconds(5));
      assertArrayEquals(peer.ledger.exportState(), a.ledger.exportState());
    }

    /**
     * A peer that lags behind sends an older state. Restoring it would bring back settings and
     * budgets that have been replaced, so it must be refused without any change.
     */
    @Test
    void isRefusedIfItIsOlder() {
      TestClient peer = newClient(B, CONFIG);
      peer.runFor(Duration.ofMillis(50));
      byte[] old = peer.ledger.exportState();
      a.submitAndAwait(lease(DRAFTS, 7, 7));
      byte[] before = a.ledger.exportState();

      assertThrows(IllegalArgumentException.class, () -> a.ledger.restore(old));
      assertThrows(IllegalArgumentException.class, () -> a.ledger.restore(new byte[] {1, 2}));
      assertArrayEquals(before, a.ledger.exportState());
    }
  }
}
