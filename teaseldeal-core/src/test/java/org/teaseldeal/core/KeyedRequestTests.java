package org.teaseldeal.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.teaseldeal.core.fake.FakeCall;
import org.teaseldeal.core.fake.FakeFleet;
import org.teaseldeal.core.fake.FakeInstance;
import org.teaseldeal.ledger.state.AccountView;

class KeyedRequestTests {
  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final int KEY_COUNT = 12;

  /**
   * Guards against tokens that are not counted when a keyed request runs on two engines. A caller
   * sends each draft through two instances at once under one key. Both callers get complete
   * answers, and each key is charged once. The tokens used by the second engine must count as
   * spent: if they were returned to the lease, they would be spent again beyond the budget.
   */
  @Test
  void aKeyedRequestThatRanOnTwoEnginesIsChargedOnceButItsTokensCountTwice() {
    FakeFleet fleet = FakeFleet.withBudget(4, 100_000);
    List<FakeInstance> pair = fleet.startReady("r1", "r2");
    List<FakeCall> calls = new ArrayList<>();
    for (int key = 0; key < KEY_COUNT; key++) {
      for (FakeInstance instance : pair) {
        calls.add(instance.callModel("mill", "drafts", Optional.of("draft-" + key), TIMEOUT));
      }
    }
    fleet
        .simulation()
        .runUntil(() -> calls.stream().allMatch(FakeCall::ended), Duration.ofSeconds(60));
    fleet.simulation().run(Duration.ofSeconds(10));

    calls.forEach(call -> assertTrue(call.isComplete(5), call::toString));
    assertTrue(fleet.runCount() > KEY_COUNT, "runs were " + fleet.runCount());
    AccountView budget = fleet.budget();
    long tokensPerRun = fleet.tokensSpent() / fleet.runCount();
    assertEquals(KEY_COUNT * tokensPerRun, budget.charged(), budget::toString);
    long accounted = budget.charged() + budget.writtenOff();
    assertTrue(
        fleet.tokensSpent() <= accounted,
        () -> "spent %d, accounted %s".formatted(fleet.tokensSpent(), budget));
  }
}
