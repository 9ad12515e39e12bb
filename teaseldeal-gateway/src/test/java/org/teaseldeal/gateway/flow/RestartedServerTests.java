package org.teaseldeal.gateway.flow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.teaseldeal.gateway.fake.FakeExchange;

/** Tests backend servers that restart under the same id. */
class RestartedServerTests {
  private static final String OLD_ADDRESS = "10.0.0.1:80";
  private static final String NEW_ADDRESS = "10.0.0.2:80";
  private static final Instant FIRST_START = Instant.ofEpochMilli(1_700_000_000_000L);

  private final GatewayFixture gateway = new GatewayFixture();

  /**
   * A server crashes with the first caller's request and is listed again before the connection to
   * the crashed process breaks. The first caller gets an error that says that its request may have
   * run, the second one its answer. The lost request doesn't change the counters of the new
   * process.
   */
  @Test
  void countsALostAnswerForTheIncarnationThatHadTheRequest() {
    gateway.list("i-1", OLD_ADDRESS, FIRST_START);
    FakeExchange lost = gateway.call(GatewayFixture.ONCE_PATH);
    gateway.list("i-1", NEW_ADDRESS, FIRST_START.plusMillis(1));
    FakeExchange served = gateway.call(GatewayFixture.ONCE_PATH);
    assertEquals(1, gateway.server("i-1").running());
    gateway.sent.get(0).loseAnswer();
    assertEquals(502, lost.status());
    assertEquals(1, gateway.server("i-1").running());
    assertEquals(NEW_ADDRESS, gateway.sent.get(1).address());
    gateway.sent.get(1).answer();
    assertEquals(200, served.status());
    assertEquals(0, gateway.server("i-1").running());
  }

  /**
   * The only server of a service loses a repeatable request and has restarted by then. The request
   * is sent to the new process, which has not failed it.
   */
  @Test
  void sendsARepeatableRequestAgainToTheNextIncarnation() {
    gateway.list("i-1", OLD_ADDRESS, FIRST_START);
    FakeExchange exchange = gateway.call(GatewayFixture.REPEATABLE_PATH);
    gateway.list("i-1", NEW_ADDRESS, FIRST_START.plusMillis(1));
    gateway.sent.get(0).loseAnswer();
    gateway.sent.get(1).answer();
    assertEquals(NEW_ADDRESS, gateway.sent.get(1).address());
    assertEquals(200, exchange.status());
  }

  /**
   * A request crashes the only server three times and is refused at the fourth attempt. Each time
   * the server is listed under its id again, with a later start, before its listing could expire.
   * The later start proves that the previous process ended.
   */
  @Test
  void quarantinesARequestThatCrashedAServerWhichRestartsUnderItsId() {
    for (int crash = 0; crash < 3; crash++) {
      gateway.list("i-1", NEW_ADDRESS, FIRST_START.plusMillis(crash));
      FakeExchange exchange = gateway.call(GatewayFixture.ONCE_PATH);
      gateway.sent.getLast().loseAnswer();
      assertEquals(502, exchange.status());
    }
    gateway.list("i-1", NEW_ADDRESS, FIRST_START.plusMillis(3));
    assertEquals(422, gateway.call(GatewayFixture.ONCE_PATH).status());
  }

  /**
   * Another process briefly answered at the address of a server that was isolated by a network
   * partition, and the server's listing never changed. The server must get requests again after
   * some time, or the load would stay on fewer servers.
   */
  @Test
  void usesAServerAgainSomeTimeAfterAnotherAnsweredAtItsAddress() {
    gateway.list("i-1", OLD_ADDRESS, FIRST_START);
    gateway.list("i-2", NEW_ADDRESS, FIRST_START);
    FakeExchange moved = gateway.call(GatewayFixture.REPEATABLE_PATH);
    String address = gateway.sent.get(0).address();
    gateway.sent.get(0).answer(421);
    gateway.sent.get(1).answer();
    assertEquals(200, moved.status());
    gateway.clock.advance(Duration.ofSeconds(5));
    for (int i = 0; i < 6; i++) {
      gateway.call(GatewayFixture.ONCE_PATH);
    }
    assertTrue(
        gateway.sent.stream().skip(2).anyMatch(sent -> sent.address().equals(address)),
        "no request was sent to " + address);
  }
}
