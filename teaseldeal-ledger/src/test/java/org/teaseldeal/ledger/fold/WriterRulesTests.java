package org.teaseldeal.ledger.fold;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.teaseldeal.ledger.LedgerFixtures.A;
import static org.teaseldeal.ledger.LedgerFixtures.B;
import static org.teaseldeal.ledger.LedgerFixtures.DRAFTS;
import static org.teaseldeal.ledger.LedgerFixtures.OPERATOR;
import static org.teaseldeal.ledger.LedgerFixtures.TEAM_BUDGET;
import static org.teaseldeal.ledger.LedgerFixtures.budget;
import static org.teaseldeal.ledger.LedgerFixtures.join;
import static org.teaseldeal.ledger.LedgerFixtures.lease;
import static org.teaseldeal.ledger.LedgerFixtures.topUp;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.teaseldeal.ledger.entry.Entry;
import org.teaseldeal.ledger.outcome.Outcome;
import org.teaseldeal.ledger.state.InstanceView;

/**
 * Guards against records that are applied twice, out of sequence, or after their writer has ended.
 */
class WriterRulesTests {
  private final FoldTestLog log = new FoldTestLog();

  @BeforeEach
  void createBudget() {
    log.write(OPERATOR, budget(TEAM_BUDGET, 100));
  }

  @Nested
  class Sequence {
    /**
     * The acknowledgement of an append is lost and the instance appends the same bytes again. The
     * log then holds the record twice, and the lease must be granted once.
     */
    @Test
    void aRepeatedRecordIsAppliedOnce() {
      log.write(A, lease(DRAFTS, 40, 40));
      log.writePayload(log.records.getLast().payload());

      assertEquals(40, log.state().leased(DRAFTS, A));
      assertEquals(1, log.fold().counters().repeats());
    }

    /**
     * A record reaches the log after the writer's next one. If the later record were applied first,
     * the earlier one would be ignored as a repeat and lost. The later record must therefore be
     * ignored until it is appended again.
     */
    @Test
    void recordsAfterAMissingOneAreIgnoredUntilTheyAreRepeated() {
      Entry first = topUp(TEAM_BUDGET, 1, "first");
      Entry second = topUp(TEAM_BUDGET, 2, "second");

      assertEquals(List.of(), log.writeAs(A, 2, second));
      assertEquals(1, log.writeAs(A, 1, first).size());
      assertEquals(1, log.writeAs(A, 2, second).size());
      assertEquals(1, log.fold().counters().sequenceGaps());
      assertEquals(103, log.state().account(TEAM_BUDGET).orElseThrow().granted());
    }

    @Test
    void aMissingRecordOfOneWriterDoesNotAffectOtherWriters() {
      log.writeAs(A, 2, topUp(TEAM_BUDGET, 1, "early"));

      assertEquals(1, log.writeAs(B, 1, topUp(TEAM_BUDGET, 1, "other")).size());
    }
  }

  @Nested
  class EndedWriters {
    /**
     * An instance stops, is retired, and resumes: it requests leases and reports charges as before.
     * If any of its records still counted, the retirement would not fence it off.
     */
    @Test
    void recordsOfARetiredWriterAreIgnored() {
      log.write(A, join(A), lease(DRAFTS, 40, 40));
      log.write(OPERATOR, new Entry.Retire(A, "ops"));

      assertEquals(List.of(), log.write(A, lease(DRAFTS, 10, 10)));
      assertTrue(log.state().ended(A));
      assertEquals(List.of(), log.state().instances());
      assertEquals(1, log.fold().counters().fromEndedWriters());
      assertEquals(40, log.state().account(TEAM_BUDGET).orElseThrow().writtenOff());
    }

    @Test
    void aWriterThatNeverWroteCanBeRetired() {
      log.write(OPERATOR, new Entry.Retire(A, "ops"));

      assertEquals(List.of(), log.write(A, lease(DRAFTS, 10, 10)));
    }

    @Test
    void entriesAfterLeaveInTheSameRecordAreRejected() {
      List<Outcome> outcomes =
          log.write(A, lease(DRAFTS, 10, 10), new Entry.Leave(), lease(DRAFTS, 10, 10));

      assertEquals(new Outcome.Retired(A, 10), outcomes.get(1));
      assertInstanceOf(Outcome.Rejected.class, outcomes.get(2));
    }

    @Test
    void areRemovedOnceTheirLeasesAreEmpty() {
      log.write(A, join(A), lease(DRAFTS, 10, 10), new Entry.Leave());
      log.write(B, join(B), new Entry.Leave());
      log.advanceClock(Duration.ofDays(8));
      log.write(OPERATOR, new Entry.ReturnLease(DRAFTS, A, 4));

      assertTrue(log.state().ended(A));
      assertFalse(log.state().ended(B));
    }

    /**
     * A process that never joined, such as an operator's command, is removed after it has been
     * silent for the key retention. A copy of its second record that appears later must not be
     * applied as a record of a new writer.
     */
    @Test
    void laterRecordsOfARemovedWriterAreNotAppliedAgain() {
      log.write(A, topUp(TEAM_BUDGET, 1, "first"));
      log.write(A, topUp(TEAM_BUDGET, 1, "second"));
      byte[] second = log.records.getLast().payload();
      log.advanceClock(Duration.ofDays(8));
      log.write(B, join(B));

      assertEquals(0, log.state().lastSequence(A));
      assertEquals(List.of(), log.writePayload(second));
    }
  }

  @Nested
  class Joined {
    @Test
    void instancesAreListedWithTheirLastFoldedOffset() {
      log.write(A, join(A));
      log.write(A, topUp(TEAM_BUDGET, 1, "t"));

      InstanceView view = log.state().instances().getFirst();
      assertEquals(A, view.incarnation());
      assertEquals(1, view.foldedTo());
    }
  }

  @Nested
  class MalformedRecords {
    /**
     * Another process appends payloads that are not a batch. If the fold threw, every instance
     * would stop at that offset for good, so all instances must skip such records.
     */
    @Test
    void areCountedAndSkipped() {
      log.writePayload(new byte[0]);
      log.writePayload("GET / HTTP/1.1".getBytes(StandardCharsets.UTF_8));

      assertEquals(2, log.fold().counters().malformed());
      assertEquals(1, log.write(A, lease(DRAFTS, 10, 10)).size());
    }
  }
}
