package org.teaseldeal.gateway.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.Test;
import org.teaseldeal.api.ErrorKind;
import org.teaseldeal.gateway.account.ClockReading;
import org.teaseldeal.gateway.account.HeartbeatCount;
import org.teaseldeal.gateway.account.HolderPort;
import org.teaseldeal.gateway.account.PrepaidAccounts;
import org.teaseldeal.gateway.account.TokenHolders;
import org.teaseldeal.gateway.fake.FakeExchange;
import org.teaseldeal.gateway.fake.FakeSharedLog;
import org.teaseldeal.gateway.fake.ManualClock;
import org.teaseldeal.gateway.log.FleetLog;
import org.teaseldeal.net.HttpAnswer;
import org.teaseldeal.net.HttpCallRequest;

class HolderCallsTests {
  private static final String HOLDER = "instance-1";
  private static final Set<String> FLEET = Set.of(HOLDER);
  private static final String CUSTOMER = "trawler";
  private static final long TOTAL = 1_000_000;
  private static final Duration MAX_WAIT = Duration.ofMillis(600);
  private static final Duration DEADLINE = Duration.ofSeconds(10);

  private final ManualClock clock = new ManualClock();
  private final FakeSharedLog.Port log = new FakeSharedLog().port(HOLDER);
  private final PrepaidAccounts accounts =
      new PrepaidAccounts(
          HOLDER,
          customer -> customer.equals(CUSTOMER) ? OptionalLong.of(TOTAL) : OptionalLong.empty(),
          new TokenHolders(HOLDER, () -> FLEET),
          event -> {},
          clock,
          new ClockReading(0, 0),
          () -> new ClockReading(0, 0),
          () -> Optional.of(new HeartbeatCount(0, 1)));
  private final FleetLog fleetLog =
      new FleetLog(log, HOLDER, 1, clock, Duration.ofMillis(300), List.of(accounts));
  private final List<FakeExchange> exchanges = new ArrayList<>();
  private final List<CompletableFuture<HttpAnswer>> calls = new ArrayList<>();
  private final HolderCalls holder = newHolderCalls();
  private final HolderCalls requester = newHolderCalls();
  private final List<HolderPort.Answer> answers = new ArrayList<>();

  @Test
  void grantsARequestOnceItsTokensAreAvailable() {
    requestTokens(CUSTOMER, 50_000);
    run(Duration.ofSeconds(1));
    assertEquals(List.of(new HolderPort.Answer.Granted()), answers);
  }

  @Test
  void refusesARequestThatExceedsTheTotalWithTheReason() {
    requestTokens(CUSTOMER, TOTAL + 1);
    run(Duration.ofSeconds(2));
    HolderPort.Answer.Refused refused =
        assertInstanceOf(HolderPort.Answer.Refused.class, answers.getFirst());
    assertEquals(ErrorKind.BUDGET_EXHAUSTED, refused.problem().kind());
  }

  /**
   * Guards against callers that are told for good that a total is used up, by a holder that hasn't
   * read of the higher one yet.
   */
  @Test
  void refusesForAWhileIfTheAskingInstanceKnowsAHigherTotal() {
    requestTokens(CUSTOMER, TOTAL + 1, 2 * TOTAL);
    run(Duration.ofSeconds(2));
    HolderPort.Answer.Refused refused =
        assertInstanceOf(HolderPort.Answer.Refused.class, answers.getFirst());
    assertEquals(ErrorKind.NO_LEASE, refused.problem().kind());
    assertTrue(refused.problem().retryAfter().isPresent());
  }

  /** Guards against requests of instances of an earlier version that can't be read. */
  @Test
  void readsARequestWithoutATotal() {
    byte[] message =
        HolderMessages.encode(new HolderPort.Request(CUSTOMER, 1, MAX_WAIT, DEADLINE, TOTAL));
    byte[] earlier = Arrays.copyOf(message, message.length - Long.BYTES);
    assertEquals(
        new HolderPort.Request(CUSTOMER, 1, MAX_WAIT, DEADLINE, 0),
        HolderMessages.decodeRequest(earlier));
  }

  @Test
  void grantsReturnedTokensAgain() {
    requestTokens(CUSTOMER, TOTAL);
    run(Duration.ofSeconds(1));
    requester.returnTokens(HOLDER, CUSTOMER, TOTAL);
    requestTokens(CUSTOMER, TOTAL);
    run(Duration.ofSeconds(1));
    HolderPort.Answer granted = new HolderPort.Answer.Granted();
    assertEquals(List.of(granted, granted), answers);
  }

  /**
   * A stopping instance must not answer as a holder, or callers at other instances would wait for
   * the end of its stop.
   */
  @Test
  void isUnreachableAsAHolderWhileTheInstanceStops() {
    accounts.close();
    requestTokens(CUSTOMER, 10);
    run(Duration.ofSeconds(1));
    assertInstanceOf(HolderPort.Answer.Unreachable.class, answers.getFirst());
  }

  /**
   * An instance that doesn't know a customer's total yet must not answer as its holder, or tokens
   * would count as granted without a total. It must not count as unreachable either, as it may give
   * tokens of other customers.
   */
  @Test
  void saysAsAHolderThatItDoesNotKnowACustomer() {
    requestTokens("stranger", 10);
    run(Duration.ofSeconds(1));
    assertEquals(List.of(new HolderPort.Answer.UnknownCustomer()), answers);
  }

  @Test
  void treatsAHolderWithoutADecodableAnswerAsUnreachable() {
    requestTokens(CUSTOMER, 10);
    requestTokens(CUSTOMER, 10);
    requestTokens(CUSTOMER, 10);
    calls.get(0).completeExceptionally(new CompletionException("connection refused", null));
    calls.get(1).complete(new HttpAnswer(404, Map.of(), new byte[0]));
    calls.get(2).complete(new HttpAnswer(200, Map.of(), new byte[] {9}));
    assertEquals(3, answers.size());
    answers.forEach(each -> assertInstanceOf(HolderPort.Answer.Unreachable.class, each));
  }

  @Test
  void refusesMessagesThatCannotBeDecoded() {
    FakeExchange garbage = new FakeExchange(HolderCalls.PATH, new byte[] {1, 2, 3});
    holder.handle(garbage);
    assertEquals(400, garbage.status());
    FakeExchange garbageReturn = new FakeExchange(HolderCalls.RETURNS_PATH, new byte[] {9});
    holder.handleReturn(garbageReturn);
    assertEquals(400, garbageReturn.status());
  }

  private HolderCalls newHolderCalls() {
    return new HolderCalls(name -> Optional.of("10.0.0.1:7000"), this::call, accounts, clock);
  }

  /** Delivers a call at once. Its answer is passed on when time advances. */
  private CompletableFuture<HttpAnswer> call(HttpCallRequest request) {
    FakeExchange exchange = new FakeExchange(request.path(), request.body());
    CompletableFuture<HttpAnswer> call = new CompletableFuture<>();
    exchanges.add(exchange);
    calls.add(call);
    if (request.path().equals(HolderCalls.RETURNS_PATH)) {
      holder.handleReturn(exchange);
    } else {
      holder.handle(exchange);
    }
    return call;
  }

  private void requestTokens(String customer, long tokens) {
    requestTokens(customer, tokens, TOTAL);
  }

  private void requestTokens(String customer, long tokens, long knownTotal) {
    requester.request(
        HOLDER,
        new HolderPort.Request(customer, tokens, MAX_WAIT, DEADLINE, knownTotal),
        answers::add);
  }

  private void run(Duration time) {
    for (long passed = 0; passed < time.toMillis(); passed += 10) {
      clock.advance(Duration.ofMillis(10));
      log.answerCalls();
      fleetLog.tick();
      accounts.tick();
      deliverAnswers();
    }
  }

  private void deliverAnswers() {
    for (int i = 0; i < calls.size(); i++) {
      FakeExchange exchange = exchanges.get(i);
      if (exchange.status() != 0) {
        calls.get(i).complete(new HttpAnswer(exchange.status(), Map.of(), exchange.answer()));
      }
    }
  }
}
