package org.teaseldeal.ledger.fold;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.teaseldeal.ledger.LedgerFixtures.A;
import static org.teaseldeal.ledger.LedgerFixtures.B;
import static org.teaseldeal.ledger.LedgerFixtures.answer;
import static org.teaseldeal.ledger.LedgerFixtures.claim;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.teaseldeal.ledger.ClaimKey;
import org.teaseldeal.ledger.entry.Entry;
import org.teaseldeal.ledger.outcome.Outcome;

/** Guards against running a non-idempotent request twice after two claims of the same key. */
class ClaimRulesTests {
  private static final ClaimKey KEY = new ClaimKey("key");

  private final FoldTestLog log = new FoldTestLog();

  /**
   * A caller sends the same request to two instances at once, and both claim its key. Only the
   * instance whose record has the lower offset may run it. The other one must learn who holds the
   * claim and whether the request bodies are equal.
   */
  @Test
  void theFirstClaimInOffsetOrderWins() {
    assertEquals(new Outcome.ClaimWon(KEY), log.writeOne(A, claim("key", "body")));

    assertEquals(
        new Outcome.ClaimLost(KEY, A, true, Optional.empty()),
        log.writeOne(B, claim("key", "body")));
    assertEquals(
        new Outcome.ClaimLost(KEY, A, false, Optional.empty()),
        log.writeOne(B, claim("key", "other")));
  }

  @Test
  void aLostClaimNamesTheStoredAnswerAlsoAfterARestore() {
    log.write(A, claim("key", "body"), answer("key", "held"));
    log.restoreFromExport();

    Outcome.ClaimLost lost =
        assertInstanceOf(Outcome.ClaimLost.class, log.writeOne(B, claim("key", "body")));
    assertArrayEquals("held".getBytes(StandardCharsets.UTF_8), lost.answer().orElseThrow().body());
  }

  @Test
  void onlyTheHolderMayAnswerOrRelease() {
    log.write(A, claim("key", "body"));

    assertInstanceOf(Outcome.Rejected.class, log.writeOne(B, answer("key", "forged")));
    assertInstanceOf(Outcome.Rejected.class, log.writeOne(B, new Entry.ReleaseClaim(KEY)));
    assertEquals(new Outcome.ClaimReleased(KEY), log.writeOne(A, new Entry.ReleaseClaim(KEY)));
    assertEquals(new Outcome.ClaimWon(KEY), log.writeOne(B, claim("key", "body")));
  }

  @Test
  void anAnsweredClaimIsNeitherAnsweredAgainNorReleased() {
    log.write(A, claim("key", "body"), answer("key", "held"));

    assertInstanceOf(Outcome.Rejected.class, log.writeOne(A, answer("key", "again")));
    assertInstanceOf(Outcome.Rejected.class, log.writeOne(A, new Entry.ReleaseClaim(KEY)));
  }

  /**
   * A caller uses a key again after the claim window, when its answer is no longer kept. The
   * request may have been run, so the claim must be refused as expired and the request not be run a
   * second time.
   */
  @Test
  void aKeyIsExpiredFromTheEndOfItsWindowToTheEndOfTheKeyRetention() {
    log.write(A, claim("key", "body"), answer("key", "held"));
    log.advanceClock(Duration.ofHours(2));

    assertEquals(new Outcome.ClaimExpired(KEY), log.writeOne(B, claim("key", "body")));
    assertTrue(log.state().claimExpired(KEY));
    log.restoreFromExport();
    log.advanceClock(Duration.ofDays(6));
    assertEquals(new Outcome.ClaimExpired(KEY), log.writeOne(B, claim("key", "body")));
    log.advanceClock(Duration.ofDays(2));
    assertEquals(new Outcome.ClaimWon(KEY), log.writeOne(B, claim("key", "body")));
    assertFalse(log.state().claimExpired(KEY));
  }

  @Test
  void theClaimWindowStartsAnewWithTheAnswer() {
    log.write(A, claim("key", "body"));
    log.advanceClock(Duration.ofMinutes(50));
    log.write(A, answer("key", "held"));
    log.advanceClock(Duration.ofMinutes(50));

    assertInstanceOf(Outcome.ClaimLost.class, log.writeOne(B, claim("key", "body")));
  }

  @Test
  void anAnswerWithoutItsBodyKeepsItsStatus() {
    Entry large = new Entry.ClaimOutcome(KEY, 201, "text/plain", new byte[5], false);
    log.write(A, claim("key", "body"), large);

    Entry.ClaimOutcome stored = log.state().claim(KEY).orElseThrow().answer().orElseThrow();
    assertEquals(201, stored.status());
    assertEquals(0, stored.body().length);
  }
}
