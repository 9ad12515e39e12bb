package org.teaseldeal.router.admin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.teaseldeal.net.HttpServer;
import org.teaseldeal.net.HttpServerConfig;
import org.teaseldeal.net.IpAddresses;
import org.teaseldeal.router.fake.Await;
import org.teaseldeal.router.fake.FakeInstance;
import org.teaseldeal.router.fake.RawConnection;
import org.teaseldeal.router.instance.InstanceLoop;

@Timeout(30)
class AdminHandlerTests {
  /** The SHA-256 of "open sesame". */
  private static final String CREDENTIAL =
      "41ef4bb0b23661e66301aac36066912dac037827b4ae63a7b1165a5aa93ed4eb";

  private static final String AUTHORIZATION_HEADER = "Authorization: Bearer open sesame\r\n";

  private final MetricRegistry metrics = new MetricRegistry();
  private final CountDownLatch drained = new CountDownLatch(1);
  private final InstanceLoop loop =
      new InstanceLoop(new FakeInstance(), command -> {}, Duration.ofMillis(5), metrics);
  private final HttpServer server =
      HttpServer.start(
          HttpServerConfig.defaults("127.0.0.1", 0),
          new AdminHandler(
              Optional.of(CREDENTIAL), loop, new MetricsText(metrics), drained::countDown));

  AdminHandlerTests() throws IOException {}

  @BeforeEach
  void startLoop() throws InterruptedException {
    loop.start();
    Await.until(loop::ready);
  }

  @AfterEach
  void close() {
    server.close();
    loop.close();
  }

  @Test
  void requiresTheCredential() throws IOException {
    String refusal =
        """
        {"type":"urn:teaseldeal:error:unauthenticated",\
        "title":"The bearer token is missing or unknown","status":401,\
        "detail":"this listener needs the operators' token","run":"not-run"}""";
    for (String path : new String[] {"/live", "/ready", "/metrics", "/dump", "/nowhere"}) {
      assertEquals(refusal, exchange("GET", path, "", ""));
      assertEquals(refusal, exchange("GET", path, "Authorization: Bearer open\r\n", ""));
    }
  }

  @Test
  void answersLivenessAndReadinessProbes() throws IOException {
    assertEquals("{\"live\":true}", exchange("GET", "/live", AUTHORIZATION_HEADER, ""));
    assertEquals(
        """
        {"ready":true,"reason":"","instance":"r1","incarnation":"r1.x",\
        "folded_to":{"teaseldeal-ledger-0":12}}""",
        exchange("GET", "/ready", AUTHORIZATION_HEADER, ""));
  }

  @Test
  void dumpsTheInstance() throws IOException {
    assertEquals("{\"instance\":\"r1\"}", exchange("GET", "/dump", AUTHORIZATION_HEADER, ""));
  }

  @Test
  void writesMetricsOfCoreAndJvm() throws IOException {
    metrics.counter("peer_messages_dropped").inc(3);
    String text = exchange("GET", "/metrics", AUTHORIZATION_HEADER, "");
    assertTrue(text.contains("\ncore_calls 7.0\n"), text);
    assertTrue(text.contains("\npeer_messages_dropped_total 3.0\n"), text);
    assertTrue(text.contains("\njvm_memory_heap_used "), text);
  }

  @Test
  void setsTheLogLevel() throws IOException {
    assertEquals(
        "{\"level\":\"info\"}",
        exchange("PUT", "/log-level", AUTHORIZATION_HEADER, "{\"level\":\"info\"}"));
    assertEquals(
        """
        {"type":"urn:teaseldeal:error:malformed-request","title":"The request is malformed",\
        "status":400,"detail":"expected {\\"level\\":\\"trace|debug|info|warn|error|off\\"}",\
        "run":"not-run"}""",
        exchange("PUT", "/log-level", AUTHORIZATION_HEADER, "{\"level\":\"loud\"}"));
  }

  @Test
  void startsADrain() throws Exception {
    assertEquals("{\"draining\":true}", exchange("POST", "/drain", AUTHORIZATION_HEADER, ""));
    drained.await();
  }

  @Test
  void refusesUnsupportedMethodsAndUnknownPaths() throws IOException {
    assertEquals(
        """
        {"type":"urn:teaseldeal:error:method-not-allowed",\
        "title":"The method is not served here","status":405,\
        "detail":"the method was GET, expected POST","run":"not-run"}""",
        exchange("GET", "/drain", AUTHORIZATION_HEADER, ""));
    assertEquals(
        """
        {"type":"urn:teaseldeal:error:unknown-service","title":"No such service","status":404,\
        "detail":"nothing is served at this path","run":"not-run"}""",
        exchange("GET", "/nowhere", AUTHORIZATION_HEADER, ""));
  }

  private String exchange(String method, String path, String headers, String body)
      throws IOException {
    try (RawConnection operator = new RawConnection(IpAddresses.format(server.address()))) {
      operator.send(
          "%s %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n%sContent-Length: %d\r\n\r\n%s"
              .formatted(method, path, headers, body.length(), body));
      String answer = operator.readToEnd();
      return answer.substring(answer.indexOf("\r\n\r\n") + 4);
    }
  }
}
