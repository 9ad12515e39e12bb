package org.teaseldeal.gateway.flow;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.teaseldeal.gateway.fake.FakeExchange;
import org.teaseldeal.net.AnswerEnd;

/** Tests of answers that are collected before they are sent. */
class CollectedAnswerTests {
  /**
   * Three answers of this size fit into the memory for all collected answers, and not much more.
   */
  private static final int LARGE_ANSWER_BYTES = 2_000_000;

  private static final int SMALL_ANSWER_BYTES = 400_000;

  private final GatewayFixture gateway = new GatewayFixture();

  /** Guards against a sound answer that is failed because the answers of others fill the memory. */
  @Test
  void failsTheLargestAnswerIfAllTogetherAreTooLarge() {
    gateway.list("server-1", "10.0.0.1:80", Instant.EPOCH);
    List<FakeExchange> callers = new ArrayList<>();
    for (int bytes = LARGE_ANSWER_BYTES; bytes > LARGE_ANSWER_BYTES - 3; bytes--) {
      callers.add(gateway.call(GatewayFixture.ONCE_PATH));
      receive(bytes);
    }
    FakeExchange small = gateway.call(GatewayFixture.ONCE_PATH);
    receive(SMALL_ANSWER_BYTES);
    gateway.sent.getLast().listener().onEnd(AnswerEnd.LENGTH);
    assertEquals(200, small.status());
    assertEquals(SMALL_ANSWER_BYTES, small.answer().length);
    assertEquals(List.of(502, 0, 0), callers.stream().map(FakeExchange::status).toList());
  }

  /** Guards against memory that stays reserved after an answer was failed. */
  @Test
  void collectsAnotherLargeAnswerAfterOneWasFailed() {
    failsTheLargestAnswerIfAllTogetherAreTooLarge();
    FakeExchange next = gateway.call(GatewayFixture.ONCE_PATH);
    receive(LARGE_ANSWER_BYTES);
    gateway.sent.getLast().listener().onEnd(AnswerEnd.LENGTH);
    assertEquals(200, next.status());
  }

  private void receive(int bytes) {
    gateway.sent.getLast().listener().onHead(200, Map.of());
    gateway.sent.getLast().listener().onBodyPart(new byte[bytes]);
  }
}
