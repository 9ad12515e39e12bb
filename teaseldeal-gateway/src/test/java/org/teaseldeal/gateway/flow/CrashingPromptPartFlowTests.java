package org.teaseldeal.gateway.flow;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.teaseldeal.gateway.fake.FakeDialect;
import org.teaseldeal.gateway.fake.FakeExchange;
import org.teaseldeal.gateway.log.SharedNote;

/** Tests of requests whose prompts have a part that may crash backend servers. */
class CrashingPromptPartFlowTests {
  private static final Instant START = Instant.ofEpochMilli(1_700_000_000_000L);
  private static final String PATH =
      GatewayFixture.REPEATABLE_PATH + FakeDialect.PARTS_QUERY + "bad0";

  private final GatewayFixture gateway = new GatewayFixture();

  /** A repeat would crash a second server before anything is known of the first crash. */
  @Test
  void holdsARepeatUntilTheCrashMayBeProved() {
    listServers();
    FakeExchange exchange = gateway.call(PATH);
    gateway.sent.getFirst().loseAnswer();
    advance(Duration.ofMillis(280));
    assertEquals(1, gateway.sent.size());
    advance(Duration.ofMillis(40));
    gateway.sent.get(1).answer();
    assertEquals(200, exchange.status());
  }

  /** Requests that a crash cuts off by chance must not wait. */
  @Test
  void repeatsARequestWithAKnownPartAtOnce() {
    listServers();
    gateway.call(PATH);
    gateway.sent.getFirst().answer();
    FakeExchange exchange = gateway.call(PATH);
    gateway.sent.get(1).loseAnswer();
    gateway.sent.get(2).answer();
    assertEquals(200, exchange.status());
  }

  /** A request that is most likely the cause must not crash another server. */
  @Test
  void doesNotRepeatARequestWithAPartThatIsRepeatedlyImplicated() {
    listServers();
    noteCrashes(2);
    FakeExchange exchange = gateway.call(PATH);
    gateway.sent.getFirst().loseAnswer();
    advance(Duration.ofMillis(320));
    assertEquals(1, gateway.sent.size());
    assertEquals(502, exchange.status());
  }

  /** The verdict arrives while a request waits; it must be refused as not run. */
  @Test
  void refusesAWaitingRequestWhosePartIsQuarantinedMeanwhile() {
    FakeExchange exchange = gateway.call(PATH);
    noteCrashes(3);
    listServers();
    assertEquals(422, exchange.status());
    assertEquals(List.of(), gateway.sent);
  }

  private void listServers() {
    gateway.list("i-1", "10.0.0.1:80", START);
    gateway.list("i-2", "10.0.0.2:80", START);
  }

  private void noteCrashes(int count) {
    for (int i = 0; i < count; i++) {
      gateway.promptParts.onMessage(
          new SharedNote.ServerCrash("instance-2", "i-crashed-" + i, 1_000L * i, List.of("bad0")));
    }
  }

  private void advance(Duration duration) {
    gateway.clock.advance(duration);
    gateway.dispatcher.tick();
  }
}
