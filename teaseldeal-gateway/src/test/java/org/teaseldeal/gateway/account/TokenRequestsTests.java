package org.teaseldeal.gateway.account;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.teaseldeal.api.ErrorKind;
import org.teaseldeal.api.Problem;
import org.teaseldeal.gateway.fake.ManualClock;

class TokenRequestsTests {
  private static final String CUSTOMER = "trawler";
  private static final long TOKENS = 12_000;
  private static final Set<String> FLEET =
      IntStream.range(0, 68).mapToObj(i -> "instance-" + i).collect(Collectors.toSet());

  /** An instance that holds no part of the customer's total. */
  private static final String REQUESTER =
      FLEET.stream()
          .filter(name -> !new TokenHolders(name, () -> FLEET).holds(CUSTOMER))
          .sorted()
          .findFirst()
          .orElseThrow();

  private record SentRequest(
      String holder, HolderPort.Request request, Consumer<HolderPort.Answer> answer) {}

  private record Returned(String holder, long tokens) {}

  private boolean hasRecentPeerMessages = true;
  private OptionalLong total = OptionalLong.of(1_000_000);
  private final ManualClock clock = new ManualClock();
  private final List<SentRequest> sentRequests = new ArrayList<>();
  private final List<Returned> returned = new ArrayList<>();
  private final List<Reservation> reserved = new ArrayList<>();
  private final List<Problem> refused = new ArrayList<>();
  private final TokenHolders holders = new TokenHolders(REQUESTER, () -> FLEET);
  private final PrepaidAccounts accounts =
      new PrepaidAccounts(
          REQUESTER,
          customer -> total,
          holders,
          event -> {},
          clock,
          new ClockReading(0, 0),
          () -> new ClockReading(0, 0),
          Optional::empty);
  private final TokenRequests requests =
      new TokenRequests(
          accounts, holders, new Port(), () -> hasRecentPeerMessages, event -> {}, clock);
  private final ReservationListener listener = new Listener();

  @Test
  void asksAHolderForTheTokensOfARequest() {
    request();
    assertEquals(TOKENS, lastSentRequest().request().tokens());
    answer(new HolderPort.Answer.Granted());
    assertEquals(List.of(new Reservation(CUSTOMER, TOKENS, TOKENS)), reserved);
  }

  /** Guards against callers that are refused because one holder is down. */
  @Test
  void asksTheNextHolderIfOneIsUnreachable() {
    request();
    String down = lastSentRequest().holder();
    answer(new HolderPort.Answer.Unreachable("down"));
    assertNotEquals(down, lastSentRequest().holder());
    answer(new HolderPort.Answer.Granted());
    request();
    assertNotEquals(down, lastSentRequest().holder());
    assertEquals(1, reserved.size());
  }

  /**
   * Guards against a holder with an older configuration, which lacks one customer, that counts as
   * unreachable for all customers.
   */
  @Test
  void asksAHolderAgainThatDoesNotKnowACustomer() {
    request();
    String first = lastSentRequest().holder();
    answer(new HolderPort.Answer.UnknownCustomer());
    assertNotEquals(first, lastSentRequest().holder());
    answer(new HolderPort.Answer.Granted());
    request();
    assertEquals(first, lastSentRequest().holder());
  }

  /** Guards against long waits of callers at an instance that is partitioned from all others. */
  @Test
  void limitsTheHoldersAskedIfNoneIsReachable() {
    request();
    for (int i = 0; i < 3; i++) {
      answer(new HolderPort.Answer.Unreachable("down"));
    }
    assertEquals(3, sentRequests.size());
    assertEquals(
        1,
        accounts.customersWaitingSince(clock.instant()).size(),
        "expected the request to wait in this instance's account");
  }

  /**
   * Guards against callers that wait for each holder in turn and then for the log, at an instance
   * that receives no messages from any other.
   */
  @Test
  void asksNoHolderIfNoPeerIsHeard() {
    hasRecentPeerMessages = false;
    requests.tick();
    assertTrue(accounts.needsLog(), "expected the log to be read before a request arrives");
    request();
    assertEquals(0, sentRequests.size());
    assertEquals(
        1,
        accounts.customersWaitingSince(clock.instant()).size(),
        "expected the request to wait in this instance's account");
  }

  /** Guards against a negative maximum wait, with which no holder can be asked. */
  @Test
  void asksNoHolderAfterTheCallerTimeout() {
    request();
    clock.advance(Duration.ofSeconds(4));
    answer(new HolderPort.Answer.Unreachable("down"));
    assertEquals(1, sentRequests.size());
  }

  @Test
  void asksAnotherHolderIfOneHasTooFewTokens() {
    request();
    answer(new HolderPort.Answer.Refused(noLease()));
    assertEquals(2, sentRequests.size());
    assertTrue(refused.isEmpty());
  }

  @Test
  void refusesImmediatelyIfTheTotalIsExhausted() {
    request();
    Problem unpaid = Problem.of(ErrorKind.BUDGET_EXHAUSTED, "less remain");
    answer(new HolderPort.Answer.Refused(unpaid));
    assertEquals(List.of(unpaid), refused);
  }

  /** Guards against tokens that remain with the request of a caller that has left. */
  @Test
  void returnsTokensOfACancelledRequest() {
    request();
    requests.cancel(CUSTOMER, listener);
    answer(new HolderPort.Answer.Granted());
    requests.tick();
    assertEquals(List.of(), reserved);
    assertEquals(TOKENS, returned.getFirst().tokens());
    assertTrue(holders.otherHolders(CUSTOMER).contains(returned.getFirst().holder()));
  }

  @Test
  void asksOnlyForMissingTokens() {
    request();
    answer(new HolderPort.Answer.Granted());
    requests.settle(reserved.getFirst(), TOKENS - 2_000);
    request();
    assertEquals(TOKENS - 2_000, lastSentRequest().request().tokens());
  }

  /**
   * Guards against a request that runs without its tokens, and uses more than the total, because a
   * new configuration came without the total while a holder was asked.
   */
  @Test
  void countsTheTokensOfAHolderIfTheTotalIsRemovedMeanwhile() {
    request();
    total = OptionalLong.empty();
    answer(new HolderPort.Answer.Granted());
    assertEquals(List.of(new Reservation(CUSTOMER, TOKENS, TOKENS)), reserved);
  }

  /** Guards against the same if no holder answers. */
  @Test
  void refusesForAWhileIfTheTotalIsRemovedWhileHoldersAreAsked() {
    request();
    total = OptionalLong.empty();
    for (int i = 0; i < 3; i++) {
      answer(new HolderPort.Answer.Unreachable("down"));
    }
    assertEquals(List.of(), reserved);
    assertEquals(ErrorKind.NO_LEASE, refused.getFirst().kind());
    assertTrue(refused.getFirst().retryAfter().isPresent());
  }

  private void request() {
    Instant callerTimeout = clock.instant().plus(Duration.ofSeconds(3));
    requests.reserve(CUSTOMER, TOKENS, callerTimeout, callerTimeout, listener);
  }

  private SentRequest lastSentRequest() {
    return sentRequests.getLast();
  }

  private void answer(HolderPort.Answer answer) {
    lastSentRequest().answer().accept(answer);
  }

  private static Problem noLease() {
    return Problem.retryable(ErrorKind.NO_LEASE, "not at hand", Duration.ofMillis(500));
  }

  private final class Port implements HolderPort {
    @Override
    public void request(String holder, Request request, Consumer<Answer> answer) {
      sentRequests.add(new SentRequest(holder, request, answer));
    }

    @Override
    public void returnTokens(String holder, String customer, long tokens) {
      returned.add(new Returned(holder, tokens));
    }
  }

  private final class Listener implements ReservationListener {
    @Override
    public void onReserved(Reservation reservation) {
      reserved.add(reservation);
    }

    @Override
    public void onRefused(Problem problem) {
      refused.add(problem);
    }
  }
}
