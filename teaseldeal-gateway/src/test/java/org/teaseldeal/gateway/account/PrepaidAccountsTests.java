package org.teaseldeal.gateway.account;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.teaseldeal.api.ErrorKind;
import org.teaseldeal.api.Problem;
import org.teaseldeal.api.TokenCounts;
import org.teaseldeal.gateway.event.GatewayEvent;
import org.teaseldeal.gateway.fake.FakeSharedLog.Behaviour;

class PrepaidAccountsTests {
  private static final long LARGE = 12_000;

  /**
   * Guards against refused callers while no instance can reach the log. All instances send requests
   * for ten seconds, then are partitioned from the log for eight. Leases last that long, so at most
   * one in ten requests may be refused although no claim can be granted.
   */
  @Test
  void servesFromLeasesWhileTheLogIsUnavailable() {
    AccountFleet fleet = new AccountFleet(7, 5_000_000);
    sendRequestsFor(fleet, Duration.ofSeconds(10));
    fleet.setBehaviours(Behaviour.UNREACHABLE);
    int reservedBefore = reserved(fleet);
    int refusedBefore = refused(fleet);
    sendRequestsFor(fleet, Duration.ofSeconds(8));
    int served = reserved(fleet) - reservedBefore;
    int refused = refused(fleet) - refusedBefore;
    assertTrue(
        refused * 10 <= served,
        "refused %d and served %d, expected at most one in ten refused".formatted(refused, served));
  }

  /**
   * Guards against callers of a customer that are refused for good, or get more than its total,
   * after requests that no total covers: they counted as demand, and no note could be written.
   */
  @ParameterizedTest
  @ValueSource(
      longs = {0, 1, 1L << 31, TokenCounts.MAX_OF_REQUEST, Long.MAX_VALUE / 2, Long.MAX_VALUE})
  void servesTheTotalBesideRequestsThatNoTotalCovers(long tokens) {
    long total = 400_000;
    AccountFleet fleet = new AccountFleet(3, total);
    for (int i = 0; i < 20; i++) {
      AccountFleet.Instance instance = fleet.instance(i % 3);
      instance.request(LARGE);
      instance.request(tokens);
      fleet.run(Duration.ofMillis(300));
    }
    assertEquals(20, requestsOf(fleet, LARGE));
    long spent = fleet.givenTokens();
    fleet.kill(Duration.ofSeconds(1));
    for (int i = 0; i < 40; i++) {
      fleet.instance(i % 3).request(LARGE);
      fleet.instance(i % 3).request(tokens);
      fleet.run(Duration.ofMillis(300));
    }
    assertTrue(fleet.givenTokens() <= total, fleet.givenTokens() + " tokens were given");
    long afterKill = fleet.givenTokens() - spent;
    assertTrue(afterKill * 4 >= total - spent, afterKill + " tokens were given after the kill");
  }

  private static long requestsOf(AccountFleet fleet, long tokens) {
    return fleet.instances.stream()
        .flatMap(instance -> instance.reserved.stream())
        .filter(reservation -> reservation.tokens() == tokens)
        .count();
  }

  /** Guards against an account that changed before a request of a negative size was rejected. */
  @Test
  void rejectsRequestsOfANegativeSizeWithoutAChange() {
    AccountFleet fleet = new AccountFleet(2, 100_000);
    fleet.instance(0).request(LARGE);
    fleet.run(Duration.ofSeconds(1));
    assertThrows(
        IllegalArgumentException.class, () -> fleet.instance(0).request(Long.MIN_VALUE + 499));
    fleet.run(Duration.ofSeconds(2));
    for (int i = 0; i < 20; i++) {
      fleet.instance(i % 2).request(LARGE);
      fleet.run(Duration.ofMillis(500));
    }
    assertTrue(fleet.givenTokens() <= 100_000, fleet.givenTokens() + " tokens were given");
  }

  /** Sends each instance a large request every 350 ms on average; each request ends after 1.5 s. */
  private static void sendRequestsFor(AccountFleet fleet, Duration time) {
    sendRequestsFor(fleet, fleet.instances, time);
  }

  private static void sendRequestsFor(
      AccountFleet fleet, List<AccountFleet.Instance> requesters, Duration time) {
    Random random = new Random(7);
    for (long passed = 0; passed < time.toMillis(); passed += 50) {
      for (AccountFleet.Instance instance : requesters) {
        if (random.nextInt(7) == 0) {
          instance.request(LARGE / 2 + random.nextInt((int) LARGE));
        }
        if (instance.reserved.size() > 4) {
          instance.settle(LARGE / 2);
        }
      }
      fleet.run(Duration.ofMillis(50));
    }
  }

  private static int reserved(AccountFleet fleet) {
    return fleet.instances.stream().mapToInt(each -> each.grantedRequests).sum();
  }

  private static int refused(AccountFleet fleet) {
    return fleet.instances.stream().mapToInt(each -> each.refusals.size()).sum();
  }

  @Test
  void refusesOnlyRequestsThatTheTotalCannotCover() {
    AccountFleet fleet = new AccountFleet(3, 100_000);
    fleet.instance(0).request(90_000);
    fleet.run(Duration.ofSeconds(3));
    fleet.instance(1).request(9_000);
    fleet.instance(2).request(20_000);
    fleet.run(Duration.ofSeconds(3));
    assertEquals(1, fleet.instance(0).grantedRequests);
    assertEquals(1, fleet.instance(1).grantedRequests);
    assertEquals(ErrorKind.BUDGET_EXHAUSTED, fleet.instance(2).refusals.getFirst().kind());
  }

  /**
   * Guards against tokens that are lost because one request is served several times: a request that
   * settles immediately is still in the queue while the account serves the next ones.
   */
  @Test
  void servesARequestOnlyOnceIfItSettlesImmediately() {
    AccountFleet fleet = new AccountFleet(3, 1_000_000);
    AccountFleet.Instance instance = fleet.instance(0);
    List<Reservation> served = new ArrayList<>();
    ReservationListener settling =
        new ReservationListener() {
          @Override
          public void onReserved(Reservation reservation) {
            served.add(reservation);
            instance.accounts.settle(reservation, reservation.tokens());
          }

          @Override
          public void onRefused(Problem problem) {
            throw new AssertionError(problem);
          }
        };
    Instant callerTimeout = fleet.clock.instant().plusSeconds(5);
    instance.accounts.reserve(
        AccountFleet.CUSTOMER, 100_000, callerTimeout, callerTimeout, settling);
    assertEquals(List.of(), served, "was served immediately, expected to wait for the log");
    instance.accounts.addDrawn(AccountFleet.CUSTOMER, 500_000);
    assertEquals(1, served.size());
  }

  /**
   * Guards against more tokens being given than the total under any combination of faults:
   * instances are partitioned from the log, lose the answers of their appends, are killed or lose
   * power and restart on the same machine, and the log drops its history. The system property
   * {@code teaseldeal.account.seeds} sets how many seeds are run.
   */
  @Test
  void staysWithinTheTotalUnderFaults() {
    assertStaysWithinTheTotalUnderFaults(4, Integer.getInteger("teaseldeal.account.seeds", 60));
  }

  /**
   * Guards against the same in a fleet where most instances hold no tokens and request them from
   * holders, whose answers may be lost too.
   */
  @Test
  void staysWithinTheTotalUnderFaultsWithHolders() {
    assertStaysWithinTheTotalUnderFaults(18, 20);
  }

  private static void assertStaysWithinTheTotalUnderFaults(int size, int seeds) {
    for (int seed = 0; seed < seeds; seed++) {
      Random random = new Random(seed);
      AccountFleet fleet = new AccountFleet(size, 400_000);
      for (int step = 0; step < 120; step++) {
        injectFault(fleet, random);
        AccountFleet.Instance instance = fleet.instance(random.nextInt(size));
        instance.request(1 + random.nextInt(9_000));
        if (random.nextBoolean() && !instance.reserved.isEmpty()) {
          instance.settle(random.nextInt((int) instance.reserved.getFirst().tokens()));
        }
        fleet.run(Duration.ofMillis(20L * random.nextInt(20)));
        assertTrue(
            fleet.givenTokens() <= fleet.total,
            "seed %d step %d: %d tokens were given, expected at most %d"
                .formatted(seed, step, fleet.givenTokens(), fleet.total));
      }
    }
  }

  private static void injectFault(AccountFleet fleet, Random random) {
    AccountFleet.Instance instance = fleet.instance(random.nextInt(fleet.instances.size()));
    switch (random.nextInt(30)) {
      case 0 -> fleet.kill(Duration.ofMillis(random.nextInt(3_000)));
      case 1 -> fleet.powerLoss(Duration.ofMillis(random.nextInt(3_000)));
      case 2 -> fleet.log.compact();
      case 3, 4 -> instance.port.behaviour(Behaviour.UNREACHABLE);
      case 5 -> instance.port.behaviour(Behaviour.ANSWERS_LOST);
      case 6 -> instance.port.behaviour(Behaviour.APPLIED_LATE);
      case 7, 8, 9, 10 -> instance.port.behaviour(Behaviour.NORMAL);
      case 11 -> fleet.setBehaviours(Behaviour.UNREACHABLE);
      case 12, 13 -> fleet.setBehaviours(Behaviour.NORMAL);
      case 14 -> fleet.total += 20_000;
      case 15, 16, 17 -> fleet.setBehaviours(Behaviour.SLOW_APPENDS);
      case 18, 19 -> fleet.log.compact();
      case 20 -> fleet.stepWallClock(Duration.ofMillis(random.nextInt(4_000) - 2_000));
      case 24 ->
          fleet.powerLoss(
              1 + random.nextInt(fleet.instances.size()), Duration.ofMillis(random.nextInt(6_000)));
      case 21, 22, 23 -> fleet.peers = AccountFleet.Peers.values()[random.nextInt(3)];
      default -> {}
    }
  }

  /**
   * Guards against a total that looks spent after a kill. All processes are killed shortly after
   * writing their notes and restart within two seconds; idle tokens have to be reclaimed, except
   * for those that may have been used since.
   */
  @Test
  void reclaimsIdleTokensAfterAKill() {
    assertReclaimsHalf(fleet -> fleet.kill(Duration.ofMillis(1_200)));
  }

  /**
   * Guards against a total that looks spent after a loss of power. All machines lose power shortly
   * after writing their notes and are back within two seconds. The monotonic clocks start anew, but
   * the wall clock and the servers' heartbeats show how much time has passed.
   */
  @Test
  void reclaimsIdleTokensAfterALossOfPower() {
    assertReclaimsHalf(fleet -> fleet.powerLoss(Duration.ofMillis(1_500)));
  }

  /**
   * Guards against a total that looks spent after a loss of power if there was little traffic
   * before it. No request arrives for three seconds before the loss; the last notes have to be
   * recent nevertheless, so that successors know that nothing was used meanwhile.
   */
  @Test
  void refreshesTheNoteOfAnUnusedLease() {
    AccountFleet fleet = new AccountFleet(4, 4_000_000);
    sendRequestsFor(fleet, Duration.ofSeconds(4));
    fleet.run(Duration.ofSeconds(3));
    Duration downtime = Duration.ofMillis(1_500);
    fleet.powerLoss(downtime);
    Duration maxSinceNote = downtime.plusMillis(700);
    assertEquals(4, fleet.takeovers.size());
    for (GatewayEvent.AccountTakenOver takeover : fleet.takeovers) {
      assertTrue(
          takeover.since().compareTo(maxSinceNote) <= 0,
          "was %s, expected at most %s".formatted(takeover, maxSinceNote));
    }
  }

  /**
   * Guards against idle tokens that are written off after two seconds without power. Eight of nine
   * instances lose power shortly after writing their notes, and their next processes start 2.4 s
   * later. Apart from tokens that were reserved or free for immediate use, they may write off at
   * most 3 % of the total, which a customer can do without if its total lasts for a minute.
   */
  @Test
  void writesOffFewIdleTokensAfterTwoSecondsWithoutPower() {
    AccountFleet fleet = new AccountFleet(9, 18_000_000);
    sendRequestsFor(fleet, Duration.ofSeconds(8));
    fleet.powerLoss(8, Duration.ofMillis(2_400));
    assertReleasedAtMostThreePercent(fleet, 8);
  }

  /**
   * Guards against idle tokens that are written off because the wall clocks were set back and
   * corrected some seconds before a loss of power. Apart from tokens that were reserved or free for
   * immediate use, at most 3 % of the total may be written off.
   */
  @Test
  void writesOffFewIdleTokensAfterTheWallClockWasCorrected() {
    AccountFleet fleet = new AccountFleet(9, 18_000_000);
    sendRequestsFor(fleet, Duration.ofSeconds(4));
    fleet.stepWallClock(Duration.ofSeconds(-5));
    sendRequestsFor(fleet, Duration.ofSeconds(2));
    fleet.stepWallClock(Duration.ofSeconds(5));
    sendRequestsFor(fleet, Duration.ofSeconds(2));
    fleet.powerLoss(Duration.ofMillis(1_400));
    assertReleasedAtMostThreePercent(fleet, 9);
  }

  private static void assertReleasedAtMostThreePercent(AccountFleet fleet, int takeovers) {
    long released =
        fleet.takeovers.stream().mapToLong(GatewayEvent.AccountTakenOver::released).sum();
    assertEquals(takeovers, fleet.takeovers.size());
    assertTrue(
        released * 100 <= 3 * fleet.total,
        "%d of %d tokens were written off".formatted(released, fleet.total));
  }

  /**
   * Guards against tokens that are given out again after a loss of power, while the wall clock is
   * set back and ahead at any time before and during it. Instances are partitioned from the log and
   * use their leases meanwhile.
   */
  @Test
  void staysWithinTheTotalWhileTheWallClockIsSet() {
    for (int seed = 0; seed < Integer.getInteger("teaseldeal.account.seeds", 60); seed++) {
      Random random = new Random(seed);
      AccountFleet fleet = new AccountFleet(4, 400_000);
      for (int step = 0; step < 60; step++) {
        setClocksOrLosePower(fleet, random);
        fleet.instance(random.nextInt(4)).request(1 + random.nextInt(9_000));
        fleet.run(Duration.ofMillis(20L * random.nextInt(40)));
        assertTrue(
            fleet.givenTokens() <= fleet.total,
            "seed %d step %d: %d tokens were given, expected at most %d"
                .formatted(seed, step, fleet.givenTokens(), fleet.total));
      }
    }
  }

  private static void setClocksOrLosePower(AccountFleet fleet, Random random) {
    switch (random.nextInt(12)) {
      case 0, 1 -> fleet.stepWallClock(Duration.ofMillis(random.nextInt(12_000) - 6_000));
      case 2 -> {
        Duration step = Duration.ofMillis(random.nextInt(12_000) - 6_000);
        fleet.stepWallClock(step);
        fleet.run(Duration.ofMillis(random.nextInt(6_000)));
        fleet.stepWallClock(step.negated());
      }
      case 3 -> fleet.powerLoss(1 + random.nextInt(4), Duration.ofMillis(random.nextInt(4_000)));
      case 4 -> fleet.setBehaviours(Behaviour.UNREACHABLE);
      case 5, 6 -> fleet.setBehaviours(Behaviour.NORMAL);
      default -> {}
    }
  }

  /** Checks that a request for half of the tokens left before {@code fault} is granted after it. */
  private static void assertReclaimsHalf(Consumer<AccountFleet> fault) {
    AccountFleet fleet = new AccountFleet(4, 1_000_000);
    sendRequestsFor(fleet, Duration.ofSeconds(6));
    long before = fleet.total - fleet.givenTokens();
    fault.accept(fleet);
    fleet.instance(0).request(before / 2);
    fleet.run(Duration.ofSeconds(3));
    assertEquals(1, fleet.instance(0).grantedRequests);
  }

  /**
   * Guards against tokens that are given out again although they were used. All instances are
   * partitioned from the log and use up their leases; then all lose power, and the wall clock is
   * set back by the time that this took, so that the last notes look recent. The heartbeats kept
   * counting and reveal the missing time.
   */
  @Test
  void reclaimsNothingIfTheWallClockWasSetBack() {
    AccountFleet fleet = new AccountFleet(4, 1_000_000);
    sendRequestsFor(fleet, Duration.ofSeconds(2));
    fleet.setBehaviours(Behaviour.UNREACHABLE);
    requestEverywhere(fleet, 5_000, 500);
    fleet.stepWallClock(Duration.ofSeconds(-5));
    fleet.powerLoss(Duration.ofMillis(1_500));
    fleet.setBehaviours(Behaviour.NORMAL);
    requestEverywhere(fleet, 5_000, 300);
    assertWithinTotal(fleet);
  }

  /**
   * Guards against tokens that are given out again after a note's answer was lost. The note reaches
   * the log, then the instance is partitioned; it must not follow the older note, which releases
   * its tokens sooner. All processes are killed, and the successor reclaims what the newer note
   * leaves it.
   */
  @Test
  void obeysANoteWhoseAnswerWasLost() {
    for (int partitionMillis = 1_700; partitionMillis < 2_400; partitionMillis += 20) {
      AccountFleet fleet = new AccountFleet(2, 1_000_000);
      AccountFleet.Instance instance = fleet.instance(0);
      sendRequestsFor(fleet, List.of(instance), Duration.ofSeconds(4));
      instance.port.behaviour(Behaviour.ANSWERS_LOST);
      instance.request(1_000);
      fleet.run(Duration.ofMillis(250));
      instance.port.behaviour(Behaviour.UNREACHABLE);
      fleet.run(Duration.ofMillis(partitionMillis));
      for (int step = 0; step < 30; step++) {
        instance.request(5_000);
      }
      fleet.kill(Duration.ofMillis(10));
      fleet.setBehaviours(Behaviour.NORMAL);
      requestEverywhere(fleet, 2_000, 400);
      assertTrue(
          fleet.givenTokens() <= fleet.total,
          "partitioned for %d ms: %d tokens were given, expected at most %d"
              .formatted(partitionMillis, fleet.givenTokens(), fleet.total));
    }
  }

  /** Sends each instance a request of {@code tokens} every 10 ms. */
  private static void requestEverywhere(AccountFleet fleet, long tokens, int times) {
    for (int step = 0; step < times; step++) {
      fleet.instances.forEach(instance -> instance.request(tokens));
      fleet.run(Duration.ofMillis(10));
    }
  }

  /**
   * Guards against idle tokens that stay with a process that has stopped instead of serving callers
   * elsewhere.
   */
  @Test
  void returnsIdleTokensWhenItStops() {
    AccountFleet fleet = new AccountFleet(2, 100_000);
    sendRequestsFor(fleet, Duration.ofSeconds(1));
    AccountFleet.Instance stopping = fleet.instance(0);
    while (!stopping.reserved.isEmpty()) {
      stopping.settle(1);
    }
    stopping.accounts.close();
    fleet.run(Duration.ofSeconds(2));
    assertTrue(stopping.accounts.allReturned(), "tokens are still held at the end");
  }

  /**
   * Guards against callers that wait for tokens that can't arrive: while all instances are
   * partitioned from the log, the request is refused immediately.
   */
  @Test
  void refusesImmediatelyInAnOutageWithoutEnoughTokens() {
    AccountFleet fleet = new AccountFleet(2, 100_000);
    fleet.setBehaviours(Behaviour.UNREACHABLE);
    fleet.run(Duration.ofSeconds(1));
    fleet.instance(0).request(90_000);
    assertEquals(ErrorKind.NO_LEASE, fleet.instance(0).refusals.getFirst().kind());
    assertTrue(fleet.instance(0).refusals.getFirst().retryAfter().isPresent());
  }

  /**
   * Guards against a caller that is told that its customer's total is used up, although a new
   * configuration came without the total while its request waited.
   */
  @Test
  void refusesForAWhileIfTheTotalIsRemovedWhileARequestWaits() {
    AccountFleet fleet = new AccountFleet(2, 1_000_000);
    AccountFleet.Instance instance = fleet.instance(0);
    instance.request(600_000);
    assertEquals(List.of(), instance.refusals);
    assertEquals(0, instance.grantedRequests);
    fleet.totalKnown = false;
    fleet.run(Duration.ofSeconds(1));
    assertEquals(0, instance.grantedRequests);
    assertEquals(ErrorKind.NO_LEASE, instance.refusals.getFirst().kind());
    assertTrue(instance.refusals.getFirst().retryAfter().isPresent());
  }

  /**
   * Guards against a caller that is refused right after an outage. Near the end of an outage a
   * request arrives that no lease covers, so it waits; when the log is back, its tokens have to be
   * granted.
   */
  @Test
  void servesARequestThatWaitedDuringAnOutage() {
    AccountFleet fleet = new AccountFleet(2, 1_000_000);
    fleet.instance(0).request(1_000);
    fleet.run(Duration.ofSeconds(1));
    fleet.setBehaviours(Behaviour.UNREACHABLE);
    fleet.instance(0).request(1_000);
    fleet.run(Duration.ofMillis(7_500));
    fleet.instance(0).request(400_000);
    fleet.run(Duration.ofMillis(1_800));
    fleet.setBehaviours(Behaviour.NORMAL);
    fleet.run(Duration.ofSeconds(1));
    assertEquals(List.of(), fleet.instance(0).refusals);
    assertEquals(3, fleet.instance(0).grantedRequests);
  }

  /**
   * Guards against refused large requests while the log is unavailable. Each instance may
   * immediately use less than one large request, but the instances reach each other, so one gets
   * tokens from its peers.
   */
  @Test
  void servesALargeRequestFromPeersWhileTheLogIsUnavailable() {
    AccountFleet fleet = fleetUnderSteadyLoad();
    fleet.setBehaviours(Behaviour.UNREACHABLE);
    fleet.run(Duration.ofMillis(300));
    AccountFleet.Instance requester = fleet.instance(0);
    int before = requester.grantedRequests;
    requester.request(3 * LARGE);
    fleet.run(Duration.ofMillis(150));
    assertEquals(before + 1, requester.grantedRequests);
  }

  /**
   * Guards against tokens that are used twice after they were given to a peer. All instances are
   * partitioned from the log; one gets tokens from the others for a second; all are killed, and
   * their successors reclaim what the last notes show as unused.
   */
  @Test
  void countsDrawnTokensOnceAfterAKill() {
    AccountFleet fleet = fleetUnderSteadyLoad();
    fleet.setBehaviours(Behaviour.UNREACHABLE);
    for (int step = 0; step < 100; step++) {
      fleet.instance(0).request(LARGE);
      fleet.run(Duration.ofMillis(10));
    }
    fleet.kill(Duration.ofMillis(10));
    fleet.setBehaviours(Behaviour.NORMAL);
    requestEverywhere(fleet, LARGE, 300);
    assertWithinTotal(fleet);
  }

  /**
   * Guards against the same without a kill: tokens that a peer gave during an outage belong to the
   * receiver alone after it.
   */
  @Test
  void countsDrawnTokensOnceAfterAnOutage() {
    AccountFleet fleet = fleetUnderSteadyLoad();
    fleet.setBehaviours(Behaviour.UNREACHABLE);
    for (int step = 0; step < 700; step++) {
      fleet.instance(0).request(LARGE / 4);
      fleet.run(Duration.ofMillis(10));
    }
    fleet.setBehaviours(Behaviour.NORMAL);
    requestEverywhere(fleet, LARGE, 300);
    assertWithinTotal(fleet);
  }

  /**
   * Guards against the loss of tokens that a peer gave and that were not used. An instance gets
   * tokens from peers during an outage, its request uses few of them, and the process stops once
   * the log is back; the total has to serve one request for nearly all that is left.
   */
  @Test
  void returnsUnusedDrawnTokens() {
    AccountFleet fleet = fleetUnderSteadyLoad();
    fleet.setBehaviours(Behaviour.UNREACHABLE);
    fleet.run(Duration.ofMillis(300));
    AccountFleet.Instance requester = fleet.instance(0);
    requester.request(3 * LARGE);
    fleet.run(Duration.ofMillis(150));
    while (!requester.reserved.isEmpty()) {
      requester.settle(1);
    }
    fleet.setBehaviours(Behaviour.NORMAL);
    requester.accounts.close();
    fleet.run(Duration.ofSeconds(2));
    AccountFleet.Instance other = fleet.instance(1);
    int before = other.grantedRequests;
    other.request(fleet.total - fleet.givenTokens() - LARGE / 10);
    fleet.run(Duration.ofSeconds(3));
    assertEquals(List.of(), other.refusals);
    assertEquals(before + 1, other.grantedRequests);
  }

  /**
   * Guards against callers that are refused because of requests that have ended. One instance's
   * only request reserves most of the total and uses little of it; then another instance gets a
   * request for more than was left before.
   */
  @Test
  void servesFromTokensReturnedByRequestsElsewhere() {
    AccountFleet fleet = new AccountFleet(2, 100_000);
    fleet.instance(0).request(80_000);
    fleet.run(Duration.ofSeconds(1));
    fleet.instance(0).settle(10_000);
    fleet.run(Duration.ofMillis(1_500));
    fleet.instance(1).request(60_000);
    fleet.run(Duration.ofSeconds(1));
    assertEquals(List.of(), fleet.instance(1).refusals);
    assertEquals(1, fleet.instance(1).grantedRequests);
  }

  /**
   * Guards against refused callers just after a process start. The process loads the accounts
   * shortly after the request has arrived, so it does not yet know how many tokens the customer
   * has.
   */
  @Test
  void servesARequestThatArrivesBeforeTheAccountsAreLoaded() {
    AccountFleet fleet = new AccountFleet(2, 100_000);
    fleet.stop(0);
    fleet.restart(0);
    fleet.instance(0).request(5_000);
    fleet.run(Duration.ofMillis(400));
    assertEquals(List.of(), fleet.instance(0).refusals);
    assertEquals(1, fleet.instance(0).grantedRequests);
  }

  private static void assertWithinTotal(AccountFleet fleet) {
    assertTrue(
        fleet.givenTokens() <= fleet.total,
        "%d tokens were given, expected at most %d".formatted(fleet.givenTokens(), fleet.total));
  }

  /** Returns seven instances after ten seconds of requests, all of which have ended. */
  private static AccountFleet fleetUnderSteadyLoad() {
    AccountFleet fleet = new AccountFleet(7, 5_000_000);
    sendRequestsFor(fleet, Duration.ofSeconds(10));
    for (AccountFleet.Instance instance : fleet.instances) {
      while (!instance.reserved.isEmpty()) {
        instance.settle(LARGE / 2);
      }
    }
    fleet.run(Duration.ofMillis(1_500));
    return fleet;
  }
}
