package org.teaseldeal.ledger.fold;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.teaseldeal.ledger.LedgerFixtures.A;
import static org.teaseldeal.ledger.LedgerFixtures.B;
import static org.teaseldeal.ledger.LedgerFixtures.BIDS;
import static org.teaseldeal.ledger.LedgerFixtures.DRAFTS;
import static org.teaseldeal.ledger.LedgerFixtures.DRAFTS_BUDGET;
import static org.teaseldeal.ledger.LedgerFixtures.OPERATOR;
import static org.teaseldeal.ledger.LedgerFixtures.TEAM_BUDGET;
import static org.teaseldeal.ledger.LedgerFixtures.budget;
import static org.teaseldeal.ledger.LedgerFixtures.charge;
import static org.teaseldeal.ledger.LedgerFixtures.lease;
import static org.teaseldeal.ledger.LedgerFixtures.topUp;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.teaseldeal.ledger.entry.Entry;
import org.teaseldeal.ledger.outcome.Outcome;
import org.teaseldeal.ledger.state.AccountView;
import org.teaseldeal.ledger.state.LeaseView;

/** Guards against leases beyond a budget, and against operations on budgets that count twice. */
class BudgetRulesTests {
  private final FoldTestLog log = new FoldTestLog();

  @Nested
  class Leases {
    @Test
    void areLimitedByTheTeamAndTheServiceBudget() {
      log.write(OPERATOR, budget(TEAM_BUDGET, 100), budget(DRAFTS_BUDGET, 30));

      assertEquals(new Outcome.LeaseGranted(DRAFTS, 30), log.writeOne(A, lease(DRAFTS, 50, 10)));
      assertEquals(new Outcome.LeaseGranted(BIDS, 70), log.writeOne(A, lease(BIDS, 90, 1)));
      assertEquals(0, log.state().spendable(BIDS));
    }

    @Test
    void areRefusedWithTheBindingAccountAndTheTokensLeasedElsewhere() {
      log.write(OPERATOR, budget(TEAM_BUDGET, 100), budget(DRAFTS_BUDGET, 30));
      log.write(A, lease(DRAFTS, 25, 25));

      assertEquals(
          new Outcome.LeaseRefused(DRAFTS, DRAFTS_BUDGET, 5, 25),
          log.writeOne(B, lease(DRAFTS, 50, 6)));
      assertEquals(
          new Outcome.LeaseRefused(BIDS, TEAM_BUDGET, 75, 25),
          log.writeOne(B, lease(BIDS, 80, 80)));
      assertEquals(
          new Outcome.LeaseRefused(DRAFTS, DRAFTS_BUDGET, 5, 0),
          log.writeOne(A, lease(DRAFTS, 50, 6)));
    }

    @Test
    void areRefusedToATeamWithoutABudget() {
      log.write(OPERATOR, budget(DRAFTS_BUDGET, 30));

      assertEquals(
          new Outcome.LeaseRefused(DRAFTS, TEAM_BUDGET, 0, 0),
          log.writeOne(A, lease(DRAFTS, 5, 1)));
    }

    @Test
    void areReturnedOnlyUpToTheTokensOfTheSource() {
      log.write(OPERATOR, budget(TEAM_BUDGET, 100));
      log.write(A, lease(DRAFTS, 40, 40));

      assertInstanceOf(
          Outcome.Rejected.class, log.writeOne(B, new Entry.ReturnLease(DRAFTS, A, 41)));
      assertEquals(
          new Outcome.LeaseReturned(DRAFTS, A, 15),
          log.writeOne(B, new Entry.ReturnLease(DRAFTS, A, 15)));
      assertEquals(new AccountView(TEAM_BUDGET, 100, 0, 0, 25), team());
      assertEquals(List.of(new LeaseView(DRAFTS, A, 25, false)), log.state().leases(DRAFTS));
    }

    @Test
    void withInvalidAmountsAreRejected() {
      log.write(OPERATOR, budget(TEAM_BUDGET, 100));

      assertInstanceOf(Outcome.Rejected.class, log.writeOne(A, lease(DRAFTS, 5, 0)));
      assertInstanceOf(Outcome.Rejected.class, log.writeOne(A, lease(DRAFTS, 5, 6)));
      assertInstanceOf(
          Outcome.Rejected.class, log.writeOne(A, new Entry.ReturnLease(DRAFTS, A, -5)));
      assertInstanceOf(Outcome.Rejected.class, log.writeOne(A, topUp(TEAM_BUDGET, -50, "t")));
      assertInstanceOf(
          Outcome.Rejected.class, log.writeOne(A, topUp(TEAM_BUDGET, Long.MAX_VALUE, "t")));
    }
  }

  @Nested
  class TopUps {
    /**
     * An operator's command is interrupted and run again with the same operation id in another
     * process. The budget must grow only once, also for a reader that restored a snapshot taken
     * between the two.
     */
    @Test
    void countOncePerOperationIdAlsoAfterARestore() {
      log.write(OPERATOR, budget(TEAM_BUDGET, 100));
      log.write(A, topUp(TEAM_BUDGET, 50, "december"));
      log.restoreFromExport();

      assertInstanceOf(
          Outcome.BudgetUnchanged.class, log.writeOne(B, topUp(TEAM_BUDGET, 50, "december")));
      assertInstanceOf(Outcome.BudgetUnchanged.class, log.writeOne(B, budget(TEAM_BUDGET, 9)));
      assertEquals(150, team().granted());
    }

    @Test
    void areForgottenAfterTheKeyRetention() {
      log.write(OPERATOR, budget(TEAM_BUDGET, 100));
      log.write(A, topUp(TEAM_BUDGET, 50, "december"));
      log.advanceClock(Duration.ofDays(8));

      assertInstanceOf(
          Outcome.BudgetGranted.class, log.writeOne(B, topUp(TEAM_BUDGET, 50, "december")));
    }

    @Test
    void ofAMissingBudgetChangeNothing() {
      assertInstanceOf(Outcome.BudgetUnchanged.class, log.writeOne(A, topUp(TEAM_BUDGET, 50, "t")));
      assertEquals(Optional.empty(), log.state().account(TEAM_BUDGET));
    }
  }

  @Nested
  class ServiceBudgets {
    /**
     * A service first draws on its team's budget alone and gets a budget of its own later. The
     * tokens that instances hold by then could all be spent, so a smaller budget would be overspent
     * from the start.
     */
    @Test
    void areNotCreatedBelowTheTokensAlreadyLeased() {
      log.write(OPERATOR, budget(TEAM_BUDGET, 100));
      log.write(A, lease(DRAFTS, 40, 40), charge(A, 1, DRAFTS, A, 10));

      assertInstanceOf(Outcome.BudgetUnchanged.class, log.writeOne(B, budget(DRAFTS_BUDGET, 29)));
      assertInstanceOf(Outcome.BudgetGranted.class, log.writeOne(B, budget(DRAFTS_BUDGET, 30)));
      assertEquals(
          Optional.of(new AccountView(DRAFTS_BUDGET, 30, 0, 0, 30)),
          log.state().account(DRAFTS_BUDGET));
    }
  }

  private AccountView team() {
    return log.state().account(TEAM_BUDGET).orElseThrow();
  }
}
