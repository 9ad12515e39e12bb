package org.teaseldeal.ledger.fold;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.teaseldeal.ledger.LedgerFixtures.A;
import static org.teaseldeal.ledger.LedgerFixtures.B;
import static org.teaseldeal.ledger.LedgerFixtures.TEAM;
import static org.teaseldeal.ledger.LedgerFixtures.claim;

import java.time.Duration;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.teaseldeal.ledger.LogRecord;
import org.teaseldeal.ledger.StreamId;
import org.teaseldeal.ledger.entry.Entry;
import org.teaseldeal.ledger.outcome.Outcome;
import org.teaseldeal.settings.SubtreeId;

/** Guards against instances that put different settings or order terms in force. */
class SettingsRulesTests {
  private static final SubtreeId SUBTREE = SubtreeId.of(TEAM);

  private final FoldTestLog log = new FoldTestLog();

  @Nested
  class Subtrees {
    /**
     * Two operators change the same subtree at once, both based on the revision that they see. The
     * first in offset order must be put in force, and the second must learn that it lost and to
     * whom. This must also hold for the first record of the log, whose offset is zero.
     */
    @Test
    void areReplacedByTheFirstOfTwoPublicationsOnOneRevision() {
      assertEquals(
          new Outcome.SettingsAccepted(SUBTREE, 1, "ann"), log.writeOne(A, publish(0, "ann")));
      assertEquals(
          new Outcome.SettingsOutdated(SUBTREE, 1, "ann"), log.writeOne(B, publish(0, "bo")));
      assertEquals(
          new Outcome.SettingsAccepted(SUBTREE, 3, "bo"), log.writeOne(B, publish(1, "bo")));
      assertEquals(3, log.state().settingsRevision());
    }

    @Test
    void thatAreInvalidAreRefusedAndChangeNothing() {
      log.write(A, publish(0, "ann"));
      Entry bad = new Entry.PublishSettings(SUBTREE, 1, "bo", "bad");

      assertInstanceOf(Outcome.SettingsInvalid.class, log.writeOne(B, bad));
      assertEquals("ann", log.state().subtree(SUBTREE).orElseThrow().author());
    }

    @Test
    void ofDifferentTeamsAreIndependent() {
      SubtreeId other = new SubtreeId("team/spectrum");
      log.write(A, publish(0, "ann"));

      assertInstanceOf(
          Outcome.SettingsAccepted.class,
          log.writeOne(B, new Entry.PublishSettings(other, 0, "bo", "text")));
    }

    /**
     * The text of a subtree makes the validator throw. It must be refused like any invalid text; an
     * exception from the fold would stop every instance at this offset.
     */
    @Test
    void thatMakeTheValidatorThrowAreRefused() {
      LedgerFold fold =
          new LedgerFold(
              new StreamId(0),
              FoldTestLog.KEY_RETENTION,
              (subtree, toml) -> {
                throw new IllegalStateException("tripped");
              });
      log.write(A, publish(0, "ann"));

      LogRecord record = log.records.getFirst();
      assertInstanceOf(Outcome.SettingsInvalid.class, fold.fold(record).getFirst().outcome());
    }
  }

  @Nested
  class FleetSettings {
    @Test
    void setTheClaimWindowAndTheKeyRetention() {
      FoldTestLog parsingLog = new FoldTestLog(SettingsValidator.STANDARD);
      String toml = "[claims]\nwindow = \"2h\"\nkey_memory = \"3h\"\n";
      parsingLog.write(A, new Entry.PublishSettings(SubtreeId.FLEET, 0, "ann", toml));
      parsingLog.write(A, claim("key", "body"));
      parsingLog.advanceClock(Duration.ofMinutes(90));
      assertInstanceOf(Outcome.ClaimLost.class, parsingLog.writeOne(B, claim("key", "body")));
      parsingLog.restoreFromExport();
      parsingLog.advanceClock(Duration.ofMinutes(40));
      assertInstanceOf(Outcome.ClaimExpired.class, parsingLog.writeOne(B, claim("key", "body")));
      parsingLog.advanceClock(Duration.ofHours(1));
      assertInstanceOf(Outcome.ClaimWon.class, parsingLog.writeOne(B, claim("key", "body")));
    }

    @Test
    void thatAreInvalidAreRefusedWithTheParsersProblems() {
      FoldTestLog parsingLog = new FoldTestLog(SettingsValidator.STANDARD);
      Entry invalid = new Entry.PublishSettings(SubtreeId.FLEET, 0, "ann", "[claims]\nno = 1\n");

      Outcome.SettingsInvalid refused =
          assertInstanceOf(Outcome.SettingsInvalid.class, parsingLog.writeOne(A, invalid));
      assertEquals("claims.no", refused.problems().getFirst().path());
    }
  }

  @Nested
  class OrderTerms {
    /**
     * Two instances see that a pool has no order term and request it at once. Only one may get the
     * term; the other must be refused, because two instances could otherwise order engines that do
     * not check terms.
     */
    @Test
    void areTakenByOneOfTwoInstancesWithTheSamePreviousTerm() {
      assertEquals(
          new Outcome.OrdersTaken("pool", 1), log.writeOne(A, new Entry.TakeOrders("pool", 0)));
      assertEquals(
          new Outcome.OrdersRefused("pool", 1, A),
          log.writeOne(B, new Entry.TakeOrders("pool", 0)));
      assertEquals(
          new Outcome.OrdersTaken("pool", 3), log.writeOne(B, new Entry.TakeOrders("pool", 1)));
      assertEquals(B, log.state().orders("pool").orElseThrow().holder());
    }
  }

  private static Entry publish(long base, String author) {
    return new Entry.PublishSettings(SUBTREE, base, author, "text");
  }
}
