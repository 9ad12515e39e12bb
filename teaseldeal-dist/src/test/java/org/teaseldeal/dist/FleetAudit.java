package org.teaseldeal.dist;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Collection;
import java.util.List;
import java.util.Set;
import org.teaseldeal.api.RequestId;
import org.teaseldeal.bench.demo.LedgerAudit;
import org.teaseldeal.bench.demo.ServerAudit;
import org.teaseldeal.ledger.state.AccountView;

/** Compares the log and the reports of the engine and the plain service with callers' answers. */
final class FleetAudit {
  private final LedgerAudit ledger;
  private final ServerAudit servers;

  private FleetAudit(LedgerAudit ledger, ServerAudit servers) {
    this.ledger = ledger;
    this.servers = servers;
  }

  static FleetAudit of(Fleet fleet) throws Exception {
    return new FleetAudit(fleet.ledger(), fleet.servers());
  }

  /** Waits until the log contains the charges of all complete answers, and returns the audit. */
  static FleetAudit awaitCharges(Fleet fleet, Collection<Answer> answers) throws Exception {
    Wait.until("all complete answers are charged", () -> of(fleet).uncharged(answers).isEmpty());
    return of(fleet);
  }

  /**
   * Asserts that no answer is lost or wrong, no request is charged or run twice and no budget
   * overspent.
   */
  void assertConsistentWith(Collection<Answer> answers, long budget) {
    assertEquals(List.of(), uncharged(answers), "complete answers without a charge");
    assertEquals(
        List.of(),
        ledger.charges().values().stream().filter(charges -> charges.size() > 1).toList(),
        "requests charged more than once");
    assertEquals(Set.of(), servers.repeatedRuns(), "bids that ran twice");
    assertEquals(
        List.of(),
        answers.stream().filter(answer -> answer.end() == Answer.End.WRONG).toList(),
        "answers with missing parts or parts of another answer");
    assertEquals(
        List.of(),
        answers.stream().filter(answer -> answer.reportsNotRun() && wasRun(answer)).toList(),
        "not-run refusals of requests that ran");
    assertEquals(List.of(), ledger.imbalances(), "granted = charged + leased + remaining");
    assertNothingOverspent(budget);
  }

  AccountView teamAccount() {
    return ledger.accounts().stream()
        .filter(account -> account.account().service().isEmpty())
        .findFirst()
        .orElseThrow();
  }

  private void assertNothingOverspent(long budget) {
    AccountView team = teamAccount();
    assertEquals(budget, team.granted());
    assertEquals(
        ledger.charges().values().stream().mapToLong(charges -> charges.getFirst().tokens()).sum(),
        team.charged(),
        "tokens charged");
    long used = servers.engineTokens() + servers.serviceRuns();
    long counted = team.charged() + team.writtenOff() + team.leased();
    assertTrue(used <= counted, () -> "%d used, %d counted".formatted(used, counted));
    assertTrue(counted <= budget, () -> "%d counted of a budget of %d".formatted(counted, budget));
  }

  private List<String> uncharged(Collection<Answer> answers) {
    return answers.stream()
        .filter(Answer::isComplete)
        .map(Answer::requestId)
        .filter(id -> !ledger.charges().containsKey(new RequestId(id)))
        .toList();
  }

  private boolean wasRun(Answer answer) {
    return !answer.requestId().isEmpty()
        && (servers.runs(answer.requestId()) > 0
            || servers.tokens(answer.requestId()).stream().anyMatch(tokens -> tokens > 0));
  }
}
