package org.teaseldeal.router.backend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.teaseldeal.api.BackendServerId;
import org.teaseldeal.api.EngineOrder;
import org.teaseldeal.api.EngineState;
import org.teaseldeal.core.command.InstanceCommand;
import org.teaseldeal.core.event.InstanceEvent;
import org.teaseldeal.net.HttpClient;
import org.teaseldeal.net.HttpClientConfig;
import org.teaseldeal.net.HttpExchange;
import org.teaseldeal.router.fake.FakeBackendServer;

@Timeout(30)
class EngineOrderCallsTests {
  private static final BackendServerId ENGINE = new BackendServerId("e1.1");

  private final LinkedBlockingQueue<InstanceEvent> events = new LinkedBlockingQueue<>();
  private final FakeBackendServer server = new FakeBackendServer();
  private final HttpClient client = new HttpClient(HttpClientConfig.defaults());
  private final EngineOrderCalls calls = new EngineOrderCalls(client, events::add);

  EngineOrderCallsTests() throws IOException {}

  @AfterEach
  void close() {
    client.close();
    server.close();
  }

  private HttpExchange sendOrder() throws InterruptedException {
    EngineOrder order = new EngineOrder(EngineOrder.Kind.LOAD_MODEL, "clerk", "3");
    calls.send(new InstanceCommand.SendOrder(ENGINE, server.address(), 41, 7, order));
    return server.awaitRequest();
  }

  private HttpExchange queryState() throws InterruptedException {
    calls.queryState(new InstanceCommand.QueryOrderState(ENGINE, server.address()));
    return server.awaitRequest();
  }

  private InstanceEvent nextEvent() throws InterruptedException {
    InstanceEvent event = events.poll(20, TimeUnit.SECONDS);
    if (event == null) {
      throw new AssertionError("no event arrived within 20 s");
    }
    return event;
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  @Test
  void sendsAnOrderWithItsFencingToken() throws Exception {
    HttpExchange exchange = sendOrder();
    assertEquals("POST /orders", exchange.method() + " " + exchange.path());
    assertEquals(
        "{\"fencing\":41,\"kind\":\"load-model\",\"target\":\"clerk\",\"version\":\"3\"}",
        new String(exchange.body(), StandardCharsets.UTF_8));
    exchange.respond(200, Map.of(), bytes("{}"));
    assertEquals(new InstanceEvent.OrderAccepted(ENGINE, 7), nextEvent());
  }

  @Test
  void reportsARefusalWithTheHighestFencingToken() throws Exception {
    sendOrder().respond(409, Map.of(), bytes("{\"highest\":52}"));
    assertEquals(new InstanceEvent.OrderRefused(ENGINE, 7, 52), nextEvent());
  }

  @ParameterizedTest
  @ValueSource(strings = {"409 {}", "409 x", "500 {}", "404 {}"})
  void reportsAnyOtherAnswerAsAFailure(String answer) throws Exception {
    sendOrder()
        .respond(Integer.parseInt(answer.substring(0, 3)), Map.of(), bytes(answer.substring(4)));
    assertInstanceOf(InstanceEvent.OrderFailed.class, nextEvent());
  }

  @Test
  void readsTheStateOfAnEngine() throws Exception {
    HttpExchange exchange = queryState();
    assertEquals("GET /orders/state", exchange.method() + " " + exchange.path());
    exchange.respond(
        200,
        Map.of(),
        bytes("{\"models\":{\"clerk\":\"3\"},\"adapters\":{\"wool\":\"1\"},\"role\":\"mixed\"}"));
    assertEquals(
        new InstanceEvent.OrderStateReported(
            ENGINE, new EngineState(Map.of("clerk", "3"), Map.of("wool", "1"), "mixed")),
        nextEvent());
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "{}",
        "x",
        "{\"models\":{},\"adapters\":{}}",
        "{\"models\":{\"clerk\":3},\"adapters\":{},\"role\":\"mixed\"}"
      })
  void ignoresAReportThatLacksAField(String body) throws Exception {
    // Guards against models that are loaded again: an absent field must not be read as an empty
    // one.
    queryState().respond(200, Map.of(), bytes(body));
    assertInstanceOf(InstanceEvent.OrderStateQueryFailed.class, nextEvent());
  }
}
