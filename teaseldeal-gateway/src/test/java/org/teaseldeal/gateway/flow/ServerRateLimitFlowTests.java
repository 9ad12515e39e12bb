package org.teaseldeal.gateway.flow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.teaseldeal.api.ErrorKind;
import org.teaseldeal.gateway.event.GatewayEvent;
import org.teaseldeal.gateway.fake.FakeExchange;

/** Tests of servers that name in their answers how many requests a second they take. */
class ServerRateLimitFlowTests {
  private static final String LIMITED = "10.0.0.1:80";
  private static final String OTHER = "10.0.0.2:80";
  private static final Duration STEP = Duration.ofMillis(100);

  private final GatewayFixture gateway = new GatewayFixture();

  private void name(String limit) {
    gateway.call(GatewayFixture.REPEATABLE_PATH);
    gateway.sent.getLast().answerWithLimit(limit);
  }

  private long sentTo(String address) {
    return gateway.sent.stream().filter(sent -> sent.address().equals(address)).count();
  }

  /** Calls for a time, ten times a second; each request that is sent is answered with the limit. */
  private List<FakeExchange> callFor(Duration time, String limit) {
    List<FakeExchange> calls = new ArrayList<>();
    for (Duration at = Duration.ZERO; at.compareTo(time) < 0; at = at.plus(STEP)) {
      int before = gateway.sent.size();
      calls.add(gateway.call(GatewayFixture.REPEATABLE_PATH));
      gateway.clock.advance(STEP);
      gateway.dispatcher.tick();
      for (GatewayFixture.SentRequest sent :
          List.copyOf(gateway.sent.subList(before, gateway.sent.size()))) {
        if (sent.address().equals(LIMITED)) {
          sent.answerWithLimit(limit);
        } else {
          sent.answer();
        }
      }
    }
    return calls;
  }

  /** Guards against a server in need that gets what it got before, as nobody reads its answers. */
  @Test
  void sendsNoMoreThanAServerTakesAndTheRestToOthers() {
    gateway.list("server-1", LIMITED, Instant.EPOCH);
    name("1");
    gateway.list("server-2", OTHER, Instant.EPOCH);
    long before = sentTo(LIMITED);
    callFor(Duration.ofSeconds(12), "1");
    long sent = sentTo(LIMITED) - before;
    assertTrue(sent >= 10 && sent <= 13, "sent were " + sent);
    assertEquals(120 - sent, sentTo(OTHER));
  }

  /** Guards against requests that wait for a server that takes no more in their time. */
  @Test
  void refusesAtOnceAsNotRunWhatNoServerTakesInTime() {
    gateway.list("server-1", LIMITED, Instant.EPOCH);
    name("0.2");
    gateway.call(GatewayFixture.REPEATABLE_PATH);
    int sent = gateway.sent.size();
    gateway.clock.advance(Duration.ofMillis(20));
    FakeExchange refused = gateway.call(GatewayFixture.REPEATABLE_PATH);
    assertEquals(ErrorKind.OVERLOADED.status(), refused.status());
    assertEquals(sent, gateway.sent.size());
  }

  /** Guards against a service that uses a small part of what its servers take. */
  @Test
  void usesWhatTheOnlyServerTakes() {
    gateway.list("server-1", LIMITED, Instant.EPOCH);
    name("3");
    int before = gateway.sent.size();
    List<FakeExchange> calls = callFor(Duration.ofSeconds(10), "3");
    int sent = gateway.sent.size() - before;
    assertTrue(sent >= 27 && sent <= 32, "sent were " + sent);
    long served = calls.stream().filter(each -> each.status() == 200).count();
    assertEquals(sent, served);
  }

  @Test
  void sendsAsBeforeSomeTimeAfterAnAnswerWithoutTheLimit() {
    gateway.list("server-1", LIMITED, Instant.EPOCH);
    name("1");
    gateway.clock.advance(Duration.ofSeconds(2));
    gateway.call(GatewayFixture.REPEATABLE_PATH);
    gateway.sent.getLast().answer();
    assertFalse(gateway.announcedLimits.count() > 0);
    gateway.clock.advance(Duration.ofSeconds(4));
    int before = gateway.sent.size();
    for (int i = 0; i < 20; i++) {
      gateway.call(GatewayFixture.REPEATABLE_PATH);
    }
    assertEquals(before + 20, gateway.sent.size());
  }

  /** Guards against limits that end by an answer that the server began before it named them. */
  @Test
  void keepsALimitWhenAnEarlierRequestIsAnsweredLater() {
    gateway.list("server-1", LIMITED, Instant.EPOCH);
    gateway.call(GatewayFixture.REPEATABLE_PATH);
    GatewayFixture.SentRequest earlier = gateway.sent.getLast();
    gateway.clock.advance(STEP);
    name("1");
    earlier.answer();
    assertEquals(1, gateway.announcedLimits.count());
  }

  /** Guards against a new process of a server that inherits the limit of the one before. */
  @Test
  void appliesALimitToOneProcessOfAServer() {
    gateway.list("server-1", LIMITED, Instant.EPOCH);
    name("1");
    gateway.list("server-1", LIMITED, Instant.EPOCH.plusSeconds(100));
    int before = gateway.sent.size();
    for (int i = 0; i < 10; i++) {
      gateway.call(GatewayFixture.REPEATABLE_PATH);
    }
    assertEquals(before + 10, gateway.sent.size());
  }

  /**
   * Guards against a server that is never asked again, so that nobody learns of the limit's end.
   */
  @Test
  void sendsARequestNowAndThenToAServerThatTakesNone() {
    gateway.list("server-1", LIMITED, Instant.EPOCH);
    name("0");
    int before = gateway.sent.size();
    callFor(Duration.ofSeconds(40), "0");
    int sent = gateway.sent.size() - before;
    assertTrue(sent >= 3 && sent <= 5, "sent were " + sent);
  }

  @Test
  void keepsWhatWasKnownWhenALimitCantBeReadAndReportsItOnce() {
    gateway.list("server-1", LIMITED, Instant.EPOCH);
    name("1");
    for (int i = 0; i < 3; i++) {
      gateway.clock.advance(Duration.ofSeconds(2));
      name("many");
    }
    assertEquals(1, gateway.announcedLimits.count());
    assertEquals(
        1,
        gateway.events.stream()
            .filter(GatewayEvent.ServerRateLimitUnreadable.class::isInstance)
            .count());
  }
}
