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
import static org.teaseldeal.ledger.LedgerFixtures.charge;
import static org.teaseldeal.ledger.LedgerFixtures.lease;
import static org.teaseldeal.ledger.LedgerFixtures.writeOff;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.teaseldeal.api.IncarnationId;
import org.teaseldeal.api.RequestId;
import org.teaseldeal.ledger.ChargeId;
import org.teaseldeal.ledger.Draw;
import org.teaseldeal.ledger.entry.Entry;
import org.teaseldeal.ledger.outcome.Outcome;
import org.teaseldeal.ledger.state.AccountView;

/**
 * Guards against requests that are charged twice, or not at all, when several instances append
 * their charges.
 */
class ChargeRulesTests {
  private static final RequestId KEYED = new RequestId("keyed-1");

  private final FoldTestLog log = new FoldTestLog();

  @BeforeEach
  void leaseTokensToBothInstances() {
    log.write(OPERATOR, budget(TEAM_BUDGET, 300));
    log.write(A, lease(DRAFTS, 100, 100));
    log.write(B, lease(DRAFTS, 100, 100));
  }

  /**
   * A settles a request, sends the charge to B as a backup and stops. B appends it, and later A's
   * own record appears on the log too. The request must be charged once.
   */
  @Test
  void aChargeAppendedByOriginAndBackupCountsOnce() {
    log.write(B, charge(A, 1, DRAFTS, A, 30));

    assertInstanceOf(Outcome.ChargeRepeated.class, log.writeOne(A, charge(A, 1, DRAFTS, A, 30)));
    assertEquals(new AccountView(TEAM_BUDGET, 300, 30, 0, 170), team());
  }

  @Test
  void numbersInAnyOrderAreRememberedAfterARestore() {
    for (long number : new long[] {3, 1, 7, 2}) {
      assertInstanceOf(Outcome.Charged.class, log.writeOne(A, charge(A, number, DRAFTS, A, 1)));
    }
    log.restoreFromExport();

    for (long number : new long[] {1, 2, 3, 7}) {
      assertTrue(log.state().charged(new ChargeId(A, number)));
      assertInstanceOf(
          Outcome.ChargeRepeated.class, log.writeOne(B, charge(A, number, DRAFTS, A, 1)));
    }
    assertFalse(log.state().charged(new ChargeId(A, 4)));
    assertEquals(4, team().charged());
  }

  /**
   * A caller loses its answer and retries with its key at another instance. That instance resumes
   * the run and settles it as well, under its own charge id and with its own tokens. The caller
   * must be charged once, and the second instance keeps its tokens.
   */
  @Test
  void aKeyedRequestSettledByTwoInstancesIsChargedOnce() {
    log.write(A, charge(A, 1, KEYED, true, DRAFTS, List.of(new Draw(A, 30))));

    assertEquals(
        new Outcome.ChargeRepeated(new ChargeId(B, 1), KEYED, new ChargeId(A, 1)),
        log.writeOne(B, charge(B, 1, KEYED, true, DRAFTS, List.of(new Draw(B, 30)))));
    assertEquals(100, log.state().leased(DRAFTS, B));
    assertEquals(30, team().charged());
    assertInstanceOf(Outcome.WrittenOff.class, log.writeOne(B, writeOff(B, 2, DRAFTS, B, 30)));
  }

  @Test
  void aKeyedRequestIsForgottenAfterTheKeyRetentionButItsChargeIdIsNot() {
    log.write(A, charge(A, 1, KEYED, true, DRAFTS, List.of(new Draw(A, 30))));
    log.advanceClock(Duration.ofDays(8));

    assertInstanceOf(
        Outcome.ChargeRepeated.class,
        log.writeOne(A, charge(A, 1, KEYED, true, DRAFTS, List.of(new Draw(A, 30)))));
    assertInstanceOf(
        Outcome.Charged.class,
        log.writeOne(B, charge(B, 1, KEYED, true, DRAFTS, List.of(new Draw(B, 30)))));
  }

  @Test
  void drawsOnSeveralSourcesAreAppliedTogetherOrNotAtAll() {
    List<Draw> covered = List.of(new Draw(A, 60), new Draw(B, 10), new Draw(A, 40));
    List<Draw> tooMuch = List.of(new Draw(B, 10), new Draw(A, 60), new Draw(A, 41));

    assertInstanceOf(Outcome.Rejected.class, log.writeOne(B, chargeByB(1, tooMuch)));
    assertEquals(new AccountView(TEAM_BUDGET, 300, 0, 0, 200), team());
    assertInstanceOf(Outcome.Charged.class, log.writeOne(B, chargeByB(1, covered)));
    assertEquals(new AccountView(TEAM_BUDGET, 300, 110, 0, 90), team());
  }

  @Test
  void drawsOnASourceThatNeverHadALeaseAreRejected() {
    IncarnationId withoutLease = new IncarnationId("stranger");

    assertInstanceOf(
        Outcome.Rejected.class, log.writeOne(B, charge(B, 1, DRAFTS, withoutLease, 1)));
  }

  /**
   * A stops responding and an operator retires it, so the tokens under its lease are written off. B
   * still charges tokens that A transferred to it before, and a backup of A's own charge is
   * appended too. Both charges must be counted and reduce the written-off amount.
   */
  @Test
  void chargesOnARetiredSourceReduceItsWrittenOffAmount() {
    assertEquals(new Outcome.Retired(A, 100), log.writeOne(OPERATOR, new Entry.Retire(A, "ops")));
    assertEquals(new AccountView(TEAM_BUDGET, 300, 0, 100, 100), team());

    log.write(B, charge(B, 1, DRAFTS, A, 25), charge(A, 1, DRAFTS, A, 30));
    log.write(B, new Entry.ReturnLease(DRAFTS, A, 20), writeOff(B, 2, DRAFTS, A, 25));

    assertEquals(new AccountView(TEAM_BUDGET, 300, 55, 25, 100), team());
    assertInstanceOf(Outcome.Rejected.class, log.writeOne(B, charge(B, 3, DRAFTS, A, 1)));
  }

  private static Entry chargeByB(long number, List<Draw> draws) {
    return charge(B, number, new RequestId("r"), false, DRAFTS, draws);
  }

  private AccountView team() {
    return log.state().account(TEAM_BUDGET).orElseThrow();
  }
}
