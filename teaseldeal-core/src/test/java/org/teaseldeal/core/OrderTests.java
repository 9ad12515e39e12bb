package org.teaseldeal.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.UnaryOperator;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.teaseldeal.api.IncarnationId;
import org.teaseldeal.core.event.InstanceEvent;
import org.teaseldeal.core.fake.FakeFleet;
import org.teaseldeal.core.fake.FakeInstance;
import org.teaseldeal.core.fake.FakeServer;
import org.teaseldeal.core.part.InstancePolicies;
import org.teaseldeal.ledger.entry.Entry;
import org.teaseldeal.ledger.outcome.Outcome;
import org.teaseldeal.ledger.state.OrderTerm;

class OrderTests {
  /** Each engine is queried every second. The rest covers two round trips and the ticks. */
  private static final Duration DEVIATION_TIMEOUT = Duration.ofMillis(1200);

  /**
   * Covers the silence timeout of a peer, the grace periods of the first two ranks, an append, a
   * query and an order.
   */
  private static final Duration SUCCESSION_TIMEOUT = Duration.ofSeconds(10);

  private final FakeFleet fleet = FakeFleet.withBudget(1, 100_000);
  private List<FakeInstance> instances = List.of();

  private void start(Map<String, String> models) {
    start(models, policies -> policies);
  }

  private void start(Map<String, String> models, UnaryOperator<InstancePolicies> change) {
    fleet.changePolicies(change);
    instances = fleet.startReady("r1", "r2", "r3");
    fleet.publishModels(models);
    assertTrue(enginesMatchWithin(models, SUCCESSION_TIMEOUT), () -> engine("engine-a").toString());
  }

  private FakeServer engine(String id) {
    return fleet.serverOf(id);
  }

  private List<FakeServer> engines() {
    return List.of(engine("engine-a"), engine("engine-b"));
  }

  private boolean enginesMatch(Map<String, String> models) {
    return engines().stream().allMatch(engine -> engine.orderState().models().equals(models));
  }

  private boolean enginesMatchWithin(Map<String, String> models, Duration bound) {
    return fleet.simulation().runUntil(() -> enginesMatch(models), bound);
  }

  private OrderTerm term() {
    return fleet.ledger().orders("engines").orElseThrow();
  }

  private FakeInstance holder() {
    return instances.stream()
        .filter(instance -> instance.incarnation().equals(term().holder()))
        .findFirst()
        .orElseThrow();
  }

  private List<FakeServer.ReceivedOrder> allOrders() {
    List<FakeServer.ReceivedOrder> orders = new ArrayList<>();
    engines().forEach(engine -> orders.addAll(engine.orders()));
    return orders;
  }

  private void run(long seconds) {
    fleet.simulation().run(Duration.ofSeconds(seconds));
  }

  private long count(Counter counter) {
    return instances.stream()
        .mapToLong(instance -> instance.core().counters().value(counter))
        .sum();
  }

  @Test
  void oneOfThreeInstancesSendsAllOrders() {
    start(Map.of("clerk", "1"));
    run(20);
    Set<IncarnationId> senders =
        allOrders().stream().map(FakeServer.ReceivedOrder::sender).collect(Collectors.toSet());
    assertEquals(Set.of(term().holder()), senders);
    assertEquals(6, allOrders().size());
    assertTrue(allOrders().stream().allMatch(order -> order.fencing() == term().term()));
    assertEquals("decode", engine("engine-a").orderState().role());
    assertEquals(Map.of("wool", "1"), engine("engine-a").orderState().adapters());
    assertEquals(1, count(Counter.ORDER_TERMS_TAKEN));
  }

  @Test
  void noEngineIsQueriedAndNoTermTakenWithoutModelSettings() {
    instances = fleet.startReady("r1", "r2", "r3");
    run(20);
    assertTrue(fleet.ledger().orders().isEmpty());
    assertEquals(0, count(Counter.ORDER_STATES_ASKED));
  }

  @Test
  void changedSettingsReachEveryEngineAndUnloadOldModels() {
    start(Map.of("clerk", "1"));
    fleet.publishModels(Map.of("clerk", "2", "small", "1"));
    assertTrue(enginesMatchWithin(Map.of("clerk", "2", "small", "1"), Duration.ofSeconds(2)));
    fleet.publishModels(Map.of("small", "1"));
    assertTrue(enginesMatchWithin(Map.of("small", "1"), Duration.ofSeconds(2)));
  }

  @Test
  void anEngineAddedLaterReceivesOrders() {
    start(Map.of("clerk", "1"));
    FakeServer addedEngine = fleet.addServer("engine-c", "engines");
    assertTrue(
        fleet
            .simulation()
            .runUntil(
                () -> addedEngine.orderState().models().equals(Map.of("clerk", "1")),
                Duration.ofSeconds(2)));
  }

  /**
   * Guards against repeated orders when an order takes effect but its answer is lost. The term
   * holder queries the engine after the answer timeout, sees that its state matches, and sends
   * nothing more.
   */
  @Test
  void anOrderWithALostResponseIsNotRepeatedOnceTheStateMatches() {
    start(Map.of("clerk", "1"));
    run(2);
    engines().forEach(engine -> engine.losesOrderResponses = true);
    fleet.publishModels(Map.of("clerk", "2"));
    run(20);
    assertTrue(enginesMatch(Map.of("clerk", "2")));
    assertEquals(8, allOrders().size());
    assertTrue(
        holder().core().dump().orderPools().getFirst().engines().stream()
            .allMatch(InstanceDump.OrderEngine::agreed));
  }

  @Nested
  class Succession {
    /**
     * Guards against a pool without orders after the term holder was killed. One of the other two
     * instances takes the next term and sends the orders for the new settings.
     */
    @Test
    void replacesAKilledHolder() {
      start(Map.of("clerk", "1"));
      OrderTerm first = term();
      holder().kill();
      fleet.publishModels(Map.of("clerk", "2"));
      assertTrue(enginesMatchWithin(Map.of("clerk", "2"), SUCCESSION_TIMEOUT));
      assertNotEquals(first.holder(), term().holder());
      assertTrue(term().term() > first.term());
      run(20);
      assertEquals(2, termsTaken());
    }

    private int termsTaken() {
      int[] taken = {0};
      fleet.outcomes(
          entryOutcome -> {
            if (entryOutcome.outcome() instanceof Outcome.OrdersTaken) {
              taken[0]++;
            }
          });
      return taken[0];
    }

    /** Guards against orders from a term holder that drains, even while its streams continue. */
    @Test
    void replacesADrainingHolder() {
      start(Map.of("clerk", "1"));
      FakeInstance first = holder();
      first.deliver(new InstanceEvent.DrainRequested());
      run(1);
      Instant drainStartedAt = fleet.simulation().instant();
      fleet.publishModels(Map.of("clerk", "2"));
      assertTrue(enginesMatchWithin(Map.of("clerk", "2"), SUCCESSION_TIMEOUT));
      assertTrue(
          allOrders().stream()
              .noneMatch(
                  o -> o.at().isAfter(drainStartedAt) && o.sender().equals(first.incarnation())));
    }

    /**
     * Guards against a term holder that is cut off from the log alone and keeps its term. Its peers
     * still receive its heartbeats but see that its log position stays behind, and one of them
     * takes over.
     */
    @Test
    void replacesAHolderThatIsCutOffFromTheLog() {
      start(Map.of("clerk", "1"));
      FakeInstance first = holder();
      first.cutOffFromLog = true;
      run(1); // A read that was already waiting at the log is still answered.
      fleet.publishModels(Map.of("clerk", "2"));
      assertTrue(enginesMatchWithin(Map.of("clerk", "2"), SUCCESSION_TIMEOUT));
      assertNotEquals(first.incarnation(), term().holder());
    }

    /**
     * Guards against orders from a term holder that an operator retired while it is still running.
     */
    @Test
    void replacesARetiredHolder() {
      start(Map.of("clerk", "1"));
      FakeInstance first = holder();
      fleet.log().write("ops", new Entry.Retire(first.incarnation(), "ops"));
      fleet.publishModels(Map.of("clerk", "2"));
      assertTrue(enginesMatchWithin(Map.of("clerk", "2"), SUCCESSION_TIMEOUT));
      assertNotEquals(first.incarnation(), term().holder());
    }
  }

  /**
   * Guards against orders from an instance that can't know whether it still holds the term because
   * the log is down. An engine that needs orders receives them only once the log is back.
   */
  @Test
  void noOrdersAreSentWithoutTheLog() {
    start(Map.of("clerk", "1"));
    fleet.log().down = true;
    run(5);
    int before = allOrders().size();
    FakeServer addedEngine = fleet.addServer("engine-c", "engines");
    run(30);
    assertEquals(before, allOrders().size());
    assertEquals(List.of(), addedEngine.orders());
    fleet.log().down = false;
    assertTrue(
        fleet.simulation().runUntil(() -> !addedEngine.orders().isEmpty(), Duration.ofSeconds(10)));
  }

  @Nested
  class LateOrders {
    /**
     * Publishes version 2 and suspends the term holder between its decision and the sending of the
     * order. Another instance takes the next term and sends orders for version 3, published in the
     * meantime.
     */
    private FakeInstance suspendPastSuccession() {
      FakeInstance suspendedHolder = holder();
      suspendedHolder.suspendsBeforeOrder = true;
      fleet.publishModels(Map.of("clerk", "2"));
      run(2);
      fleet.publishModels(Map.of("clerk", "3"));
      assertTrue(enginesMatchWithin(Map.of("clerk", "3"), SUCCESSION_TIMEOUT));
      assertNotEquals(suspendedHolder.incarnation(), term().holder());
      run(2);
      return suspendedHolder;
    }

    private long ordersAfter(Instant from) {
      return allOrders().stream().filter(order -> !order.at().isBefore(from)).count();
    }

    /**
     * Guards against a late order of an earlier term holder. After resuming, the holder sends its
     * order for version 2, which the engines refuse because of its fencing token.
     */
    @Test
    void areRefusedByEnginesThatCheckFencingTokens() {
      start(Map.of("clerk", "1"));
      FakeInstance suspendedHolder = suspendPastSuccession();
      suspendedHolder.resume();
      fleet.simulation().run(Duration.ofMillis(50));
      assertEquals(2, allOrders().stream().filter(order -> !order.accepted()).count());
      assertTrue(enginesMatch(Map.of("clerk", "3")));
      run(10);
      assertTrue(enginesMatch(Map.of("clerk", "3")));
      assertNotEquals(suspendedHolder.incarnation(), term().holder());
    }

    /**
     * Guards against a lasting deviation at engines that ignore fencing tokens and load version 2.
     * The current holder notices it with its next query and restores version 3 within the bound.
     * The resumed holder sends no further orders.
     */
    @Test
    void areCorrectedInTimeAtEnginesThatIgnoreFencingTokens() {
      engines().forEach(engine -> engine.checksFencing = false);
      start(Map.of("clerk", "1"));
      FakeInstance suspendedHolder = suspendPastSuccession();
      suspendedHolder.resume();
      fleet.simulation().run(Duration.ofMillis(5));
      assertFalse(enginesMatch(Map.of("clerk", "3")));
      Instant resumedAt = fleet.simulation().instant();
      assertTrue(enginesMatchWithin(Map.of("clerk", "3"), DEVIATION_TIMEOUT));
      run(20);
      assertTrue(enginesMatch(Map.of("clerk", "3")));
      assertEquals(2, ordersAfter(resumedAt));
      assertEquals(2, count(Counter.ORDER_DEVIATIONS));
    }

    /** Shows that the deviation lasts if engines that once matched aren't queried again. */
    @Test
    void remainInEffectIfMatchingEnginesAreNotQueriedAgain() {
      engines().forEach(engine -> engine.checksFencing = false);
      start(Map.of("clerk", "1"), policies -> policies.withEngineRecheckRule(matched -> !matched));
      FakeInstance suspendedHolder = suspendPastSuccession();
      suspendedHolder.resume();
      run(20);
      assertTrue(enginesMatch(Map.of("clerk", "2")));
    }

    /**
     * Guards against orders based on a log response that waited while the term holder was
     * suspended. Another instance takes the next term and orders newer settings, and the log goes
     * down before the first holder resumes. The queued response looks fresh, but the first holder
     * must send no orders.
     */
    @Test
    void areNotSentAfterASuspensionBecauseOfQueuedLogResponses() {
      start(Map.of("clerk", "1"));
      FakeInstance suspendedHolder = holder();
      suspendedHolder.suspend();
      run(2);
      fleet.publishModels(Map.of("clerk", "2"));
      assertTrue(enginesMatchWithin(Map.of("clerk", "2"), SUCCESSION_TIMEOUT));
      fleet.log().down = true;
      Instant logDownAt = fleet.simulation().instant();
      suspendedHolder.resume();
      run(20);
      assertTrue(
          allOrders().stream()
              .noneMatch(
                  o ->
                      o.at().isAfter(logDownAt)
                          && o.sender().equals(suspendedHolder.incarnation())));
    }
  }

  /**
   * Shows that all three instances send orders, even without the log, if the term is not required.
   */
  @Test
  void withoutTheTermSeveralInstancesSendOrders() {
    start(
        Map.of("clerk", "1"), policies -> policies.withOrderAuthority((holder, inContact) -> true));
    run(5);
    Set<IncarnationId> senders =
        allOrders().stream().map(FakeServer.ReceivedOrder::sender).collect(Collectors.toSet());
    assertEquals(3, senders.size());
  }
}
