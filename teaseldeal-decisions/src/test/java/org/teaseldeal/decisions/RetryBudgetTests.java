package org.teaseldeal.decisions;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class RetryBudgetTests {
  @Test
  void limitsRetriesToTheShareIfEveryAttemptFails() {
    RetryBudget budget = new RetryBudget(0.1);
    int retries = 0;
    for (int i = 0; i < 10_000; i++) {
      budget.onFirstAttempt();
      retries += budget.tryRetry() ? 1 : 0;
    }
    assertTrue(retries <= 1_010, "retries were " + retries + ", expected at most 1010");
  }
}
