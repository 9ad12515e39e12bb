package org.teaseldeal.decisions;

import static org.junit.jupiter.api.Assertions.assertAll;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.teaseldeal.decisions.LoadSimulation.Arrival;
import org.teaseldeal.decisions.LoadSimulation.Policy;
import org.teaseldeal.decisions.LoadSimulation.Tally;

/**
 * Simulates the loads that the policies are designed for, with 13 servers behind 9 instances, and
 * compares the outcomes with two baselines.
 */
class DecisionsUnderLoadTests {
  private static final int INSTANCES = 9;
  private static final int SERVERS = 13;
  private static final int SLOTS_PER_SERVER = 8;
  private static final long WORK_MICROS = 100_000;
  private static final long TIMEOUT_MICROS = 2_000_000;
  // Requests per second: 13 servers with 8 slots each, at 100 ms per request.
  private static final double CAPACITY_PER_SECOND = SERVERS * SLOTS_PER_SERVER * 1e6 / WORK_MICROS;

  private final SplittableRandom random = new SplittableRandom(5);

  @Test
  void answersUpToCapacityInTimeDuringATenfoldBurst() {
    // The load is 300 requests per second, with ten times that for two seconds. Requests that can't
    // be served in time are refused immediately; with an unbounded queue, nearly all requests of
    // the burst and many after it would be answered too late.
    List<Arrival> load = new ArrayList<>();
    addArrivals(load, 0, 3, 300, "a", WORK_MICROS);
    addArrivals(load, 3, 5, 3_000, "a", WORK_MICROS);
    addArrivals(load, 5, 10, 300, "a", WORK_MICROS);
    Simulations runs = simulate(load, Map.of());

    Tally underTest = runs.decisions().all();
    int inTime = underTest.inTime;
    double capacity = 300 * 8 + CAPACITY_PER_SECOND * (2 + TIMEOUT_MICROS / 1e6);
    assertAll(
        () -> assertTrue(inTime >= 0.85 * Math.min(load.size(), capacity), "in time " + inTime),
        () -> assertTrue(underTest.late <= 0.01 * underTest.sent, "late " + underTest.late),
        () -> assertBeatsBaselines(runs));
  }

  @Test
  void servesLightCustomersDespiteTwoHotOnes() {
    // Two customers send 90 % of a load of 150 %. The eight light customers request far less than
    // their shares and are served as if the hot ones did not exist.
    List<Arrival> load = new ArrayList<>();
    double total = 1.5 * CAPACITY_PER_SECOND;
    addArrivals(load, 0, 10, 0.45 * total, "hot-1", WORK_MICROS);
    addArrivals(load, 0, 10, 0.45 * total, "hot-2", WORK_MICROS);
    for (int i = 0; i < 8; i++) {
      addArrivals(load, 0, 10, 0.1 * total / 8, "light-" + i, WORK_MICROS);
    }
    Simulations runs = simulate(load, Map.of());

    assertAll(
        () -> {
          for (int i = 0; i < 8; i++) {
            double share = runs.decisions().customer("light-" + i).inTimeShare();
            assertTrue(share >= 0.95, "light-" + i + " was answered in time " + share);
          }
        },
        () -> assertBeatsBaselines(runs));
  }

  @Test
  void keepsGoodputWhenSaturatedAndRecoversWithinFiveSeconds() {
    // The load is 150 % for twenty seconds, then 60 %. The goodput has to stay at 90 % of the
    // servers' capacity, and five seconds after the overload all callers have to be answered in
    // time again.
    List<Arrival> load = new ArrayList<>();
    addArrivals(load, 0, 20, 1.5 * CAPACITY_PER_SECOND, "a", WORK_MICROS);
    addArrivals(load, 20, 30, 0.6 * CAPACITY_PER_SECOND, "a", WORK_MICROS);
    Simulations runs = simulate(load, Map.of());

    LoadSimulation underTest = runs.decisions();
    double goodput = 0;
    for (int second = 5; second < 20; second++) {
      goodput += underTest.second(second).inTime / 15.0;
    }
    double requestsPerSecond = goodput;
    assertAll(
        () ->
            assertTrue(
                requestsPerSecond >= 0.9 * CAPACITY_PER_SECOND, "goodput " + requestsPerSecond),
        () -> assertTrue(underTest.second(26).late == 0, "late after recovery"),
        () ->
            assertTrue(
                underTest.second(26).inTime >= 0.55 * CAPACITY_PER_SECOND,
                "in time " + underTest.second(26).inTime),
        () -> assertBeatsBaselines(runs));
  }

  @Test
  void givesASlowServerFewRequests() {
    // One of 13 servers is ten times slower. With round robin it would get a thirteenth of the
    // requests, and each of those callers would wait at least ten times as long.
    List<Arrival> load = new ArrayList<>();
    addArrivals(load, 0, 20, 0.7 * CAPACITY_PER_SECOND, "a", WORK_MICROS);
    Simulations runs = simulate(load, Map.of(4, 10.0));

    LoadSimulation underTest = runs.decisions();
    assertAll(
        () -> assertTrue(underTest.servedShare(4) < 0.01, "share " + underTest.servedShare(4)),
        () ->
            assertTrue(
                underTest.all().inTimeShare() >= 0.995, "in time " + underTest.all().inTimeShare()),
        () -> assertBeatsBaselines(runs));
  }

  @Test
  void answersShortRequestsInTimeAmongLongOnes() {
    // One request in twenty takes twenty times as long; these come from one customer. Short
    // requests of the others must not be delayed behind them.
    List<Arrival> load = new ArrayList<>();
    double rate = 1.2 * CAPACITY_PER_SECOND / (0.95 + 0.05 * 20);
    addArrivals(load, 0, 20, 0.05 * rate, "long", 20 * WORK_MICROS, 6_000_000);
    for (int i = 0; i < 5; i++) {
      addArrivals(load, 0, 20, 0.19 * rate, "short-" + i, WORK_MICROS);
    }
    Simulations runs = simulate(load, Map.of());

    LoadSimulation underTest = runs.decisions();
    assertAll(
        () -> {
          for (int i = 0; i < 5; i++) {
            double share = underTest.customer("short-" + i).inTimeShare();
            assertTrue(share >= 0.9, "short-" + i + " was answered in time " + share);
          }
        },
        () -> assertBeatsBaselines(runs));
  }

  /** The simulations of the same load with each policy. */
  private record Simulations(
      LoadSimulation roundRobin, LoadSimulation leastOutstanding, LoadSimulation decisions) {}

  private static void assertBeatsBaselines(Simulations runs) {
    int inTime = runs.decisions().all().inTime;
    for (LoadSimulation baseline : List.of(runs.roundRobin(), runs.leastOutstanding())) {
      int baselineInTime = baseline.all().inTime;
      assertTrue(
          inTime >= baselineInTime,
          "%d requests answered in time, expected at least the baseline's %d"
              .formatted(inTime, baselineInTime));
    }
  }

  private static Simulations simulate(List<Arrival> load, Map<Integer, Double> slow) {
    return new Simulations(
        simulate(Policy.ROUND_ROBIN_UNBOUNDED, load, slow),
        simulate(Policy.LEAST_OUTSTANDING_UNBOUNDED, load, slow),
        simulate(Policy.DECISIONS, load, slow));
  }

  private static LoadSimulation simulate(
      Policy policy, List<Arrival> load, Map<Integer, Double> slow) {
    LoadSimulation run =
        new LoadSimulation(policy, INSTANCES, SERVERS, SLOTS_PER_SERVER, slow).simulate(load);
    Tally all = run.all();
    System.out.printf(
        "%-28s sent %6d in time %6d late %6d refused %6d p50 %5d ms p99 %5d ms%n",
        policy,
        all.sent,
        all.inTime,
        all.late,
        all.refused,
        all.percentileMillis(0.5),
        all.percentileMillis(0.99));
    return run;
  }

  private void addArrivals(
      List<Arrival> load,
      int from,
      int to,
      double requestsPerSecond,
      String customer,
      long workMicros) {
    addArrivals(load, from, to, requestsPerSecond, customer, workMicros, TIMEOUT_MICROS);
  }

  private void addArrivals(
      List<Arrival> load,
      int from,
      int to,
      double requestsPerSecond,
      String customer,
      long workMicros,
      long timeoutMicros) {
    double at = from * 1e6;
    while (true) {
      at += -Math.log(1 - random.nextDouble()) * 1e6 / requestsPerSecond;
      if (at >= to * 1e6) {
        return;
      }
      long spread = (long) (workMicros * (0.5 + random.nextDouble()));
      load.add(new Arrival((long) at, customer, spread, timeoutMicros));
    }
  }
}
