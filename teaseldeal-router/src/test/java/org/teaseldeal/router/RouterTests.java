package org.teaseldeal.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.InstantSource;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.teaseldeal.api.IncarnationId;
import org.teaseldeal.api.Sha256;
import org.teaseldeal.api.TeamId;
import org.teaseldeal.core.InstanceConfig;
import org.teaseldeal.core.InstanceCore;
import org.teaseldeal.core.InstanceLimits;
import org.teaseldeal.ledger.AccountId;
import org.teaseldeal.ledger.entry.Entry;
import org.teaseldeal.net.HttpExchange;
import org.teaseldeal.net.ResponseStream;
import org.teaseldeal.router.fake.Await;
import org.teaseldeal.router.fake.FakeBackendServer;
import org.teaseldeal.router.fake.FakePlatform;
import org.teaseldeal.router.fake.RawConnection;
import org.teaseldeal.router.fake.RouterFixture;
import org.teaseldeal.router.instance.CoreInstance;
import org.teaseldeal.router.settings.RouterSettings;
import org.teaseldeal.settings.SubtreeId;

/** Tests a router with its real core, from a caller to a backend server and back. */
@Timeout(60)
class RouterTests {
  private static final String FLEET_SETTINGS =
      """
      [pools.language]
      kind = "model"
      max_concurrent_per_server = 8
      checks_fencing = true

      [pools.desk]
      kind = "plain"
      max_concurrent_per_server = 8
      """;

  /** The settings of a team with one customer, whose token is "example-clerk". */
  private static final String TEAM_SETTINGS =
      """
      [services.tags]
      kind = "model"
      pool = "language"
      model = "clerk-8b"
      priority = "standard"
      max_output_tokens = 50
      timeout = "20s"

      [services.receipts]
      kind = "plain"
      pool = "desk"
      priority = "interactive"
      idempotent = true
      tokens_per_call = 1
      timeout = "10s"

      [customers.clerk]
      token_sha256 = "%s"
      """;

  private static final String BODY =
      "{\"model\":\"tags\",\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]}";

  private final FakePlatform platform = new FakePlatform();
  private final FakeBackendServer engine = new FakeBackendServer();
  private final FakeBackendServer plainService = new FakeBackendServer();

  RouterTests() throws IOException {}

  @AfterEach
  void close() {
    platform.close();
    engine.close();
    plainService.close();
  }

  @Test
  void isNotReadyWhileThePlatformIsUnreachable() throws Exception {
    platform.close();
    try (Router router = start()) {
      try (RawConnection caller = new RawConnection(router.callerAddress())) {
        String answer = caller.send(chat("example-clerk", BODY)).readUntil("}");
        assertTrue(answer.startsWith("HTTP/1.1 503 Service Unavailable\r\n"), answer);
        assertTrue(answer.contains("Retry-After: 1\r\n"), answer);
        assertEquals(
            """
            {"type":"urn:teaseldeal:error:not-ready",\
            "title":"The instance has not caught up with settings and ledger yet","status":503,\
            "detail":"stream teaseldeal-ledger-0 is at -1: it is being read","run":"not-run",\
            "request_id":"r1.x-1","retry_after_ms":1000}""",
            body(answer));
      }
    }
  }

  @Nested
  class WithSettingsAndBudget {
    private final Router router = startReady();

    WithSettingsAndBudget() throws Exception {}

    @AfterEach
    void closeRouter() {
      router.close();
    }

    @Test
    void registersItsAddresses() throws Exception {
      Await.until(() -> !platform.registrations().isEmpty());
      assertEquals(
          """
          PUT /instances/r1 {"incarnation":"r1.x","role":"router","address":"%s",\
          "peer_address":"%s","data_centre":"hal-nord","admin_address":"%s","state":"live"}"""
              .formatted(router.callerAddress(), router.peerAddress(), router.adminAddress()),
          platform.registrations().getFirst());
    }

    @Test
    void refusesAWrongToken() throws Exception {
      assertEquals(
          """
          {"type":"urn:teaseldeal:error:unauthenticated",\
          "title":"The bearer token is missing or unknown","status":401,\
          "detail":"the bearer token is unknown","run":"not-run","request_id":"r1.x-1"}""",
          exchange(chat("example-stranger", BODY)));
    }

    @Test
    void refusesAnUnknownService() throws Exception {
      assertEquals(
          """
          {"type":"urn:teaseldeal:error:unknown-service","title":"No such service","status":404,\
          "detail":"team licensing has no service licensing/nothing","run":"not-run",\
          "request_id":"r1.x-1"}""",
          exchange(chat("example-clerk", BODY.replace("tags", "nothing"))));
    }

    // Guards against an answer that claims to know whether the request ran. The engine accepts the
    // request and never answers, so the caller's own deadline ends the wait.
    @Test
    void reportsAPassedDeadlineToTheCaller() throws Exception {
      String request = chat("example-clerk", BODY);
      assertEquals(
          """
          {"type":"urn:teaseldeal:error:deadline-passed",\
          "title":"The deadline passed while the request was running","status":504,\
          "detail":"no whole answer came in time","run":"unknown","request_id":"r1.x-1"}""",
          exchange(request.replace("Host: x\r\n", "Host: x\r\nRequest-Timeout-Ms: 500\r\n")));
      assertTrue(engine.hasRequest());
    }

    @Test
    void servesAModelCall() throws Exception {
      try (RawConnection caller = new RawConnection(router.callerAddress())) {
        caller.send(chat("example-clerk", BODY));
        HttpExchange attempt = engine.awaitRequest();
        assertEquals(
            "{\"model\":\"clerk-8b\",\"max_tokens\":50,"
                + "\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}],"
                + "\"stream\":true,\"stream_options\":{\"include_usage\":true}}",
            new String(attempt.body(), StandardCharsets.UTF_8));
        String id = attempt.header("Attempt-Id").orElseThrow();
        ResponseStream stream = attempt.startStream(200, Map.of());
        stream.write(FakeBackendServer.frame(id, 0, "one "));
        stream.write(FakeBackendServer.frame(id, 1, "two"));
        stream.write(FakeBackendServer.usage(id, 2, 4, 2));
        stream.finish();
        String answer = caller.readUntil("\"total_tokens\":6}}");
        assertTrue(answer.contains("\"content\":\"one two\""), answer);
      }
    }

    @Test
    void servesAPlainCall() throws Exception {
      try (RawConnection caller = new RawConnection(router.callerAddress())) {
        caller.send(
            "POST /services/licensing/receipts/new HTTP/1.1\r\nHost: x\r\n"
                + "Authorization: Bearer example-clerk\r\nContent-Length: 3\r\n\r\nfee");
        HttpExchange call = plainService.awaitRequest();
        assertEquals("/new", call.path());
        call.respond(201, Map.of("Content-Type", "text/plain"), call.body());
        assertTrue(caller.readUntil("fee").startsWith("HTTP/1.1 201 Created\r\n"));
      }
    }

    @Test
    void finishesRequestsInFlightDuringADrain() throws Exception {
      // Guards against a shutdown that breaks a stream. The caller of the stream still gets its
      // whole answer. New requests are refused as not run. The platform's list shows the instance
      // as leaving, and the instance is removed from it at the end.
      try (RawConnection caller = new RawConnection(router.callerAddress())) {
        caller.send(chat("example-clerk", BODY.replace("]}", "],\"stream\":true}")));
        HttpExchange attempt = engine.awaitRequest();
        String id = attempt.header("Attempt-Id").orElseThrow();
        ResponseStream stream = attempt.startStream(200, Map.of());
        stream.write(FakeBackendServer.frame(id, 0, "one "));
        caller.readUntil("\"position\":0}\n\n\r\n");
        Thread drain = Thread.ofVirtual().start(this::drain);
        Await.until(() -> platform.registrations().getLast().contains("leaving"));
        assertTrue(exchange(chat("example-clerk", BODY)).contains(":error:draining"));
        stream.write(FakeBackendServer.frame(id, 1, "two"));
        stream.write(FakeBackendServer.usage(id, 2, 4, 2));
        stream.finish();
        assertTrue(caller.readUntil("0\r\n\r\n").contains("data: [DONE]"));
        drain.join();
        assertTrue(drainedCompletely);
        assertTrue(platform.registrations().getLast().startsWith("DELETE /instances/r1"));
      }
    }

    private boolean drainedCompletely;

    private void drain() {
      try {
        drainedCompletely = router.drainAndClose();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }

    private String exchange(String request) throws IOException {
      try (RawConnection caller = new RawConnection(router.callerAddress())) {
        return body(caller.send(request).readUntil("}"));
      }
    }
  }

  private Router startReady() throws Exception {
    platform.publish(
        new Entry.PublishSettings(SubtreeId.FLEET, 0, "ops", FLEET_SETTINGS),
        new Entry.PublishSettings(
            SubtreeId.of(new TeamId("licensing")),
            0,
            "ops",
            TEAM_SETTINGS.formatted(Sha256.hex("example-clerk"))),
        new Entry.CreateBudget(AccountId.of(new TeamId("licensing")), 100_000, "ops", "op-1"));
    platform.addBackendServer("e1", "engine", "language", engine.address());
    platform.addBackendServer("d1", "service", "desk", plainService.address());
    Router router = start();
    Await.until(router::ready);
    return router;
  }

  private Router start() throws IOException {
    RouterSettings settings = RouterFixture.settings(platform.address(), Optional.empty());
    IncarnationId incarnation = new IncarnationId("r1.x");
    Random random = new Random(1);
    return Router.start(
        settings,
        incarnation,
        peerAddress -> core(settings, incarnation, peerAddress, random),
        InstantSource.system(),
        random);
  }

  private static CoreInstance core(
      RouterSettings settings, IncarnationId incarnation, String peerAddress, Random random) {
    InstanceConfig config =
        new InstanceConfig(
            settings.instance(),
            incarnation,
            settings.dataCentre(),
            peerAddress,
            1,
            InstanceLimits.standard());
    return new CoreInstance(config, new InstanceCore(config, InstantSource.system(), random));
  }

  private static String chat(String token, String body) {
    return ("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n"
            + "Content-Length: %d\r\n\r\n%s")
        .formatted(token, body.length(), body);
  }

  private static String body(String answer) {
    return answer.substring(answer.indexOf("\r\n\r\n") + 4);
  }
}
