package org.teaseldeal.dist;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Starts the stand-ins by their launcher and checks their interfaces and exit statuses. */
class StandinProcessTests {
  private static final Duration TIMEOUT = Duration.ofSeconds(20);

  private final HttpClient client = HttpClient.newHttpClient();
  private LaunchedProcess platform;

  @BeforeEach
  void startPlatform() throws IOException {
    platform = LaunchedProcess.daemon("teaseldeal-standin", "platform");
  }

  @AfterEach
  void stopPlatform() {
    platform.close();
    client.close();
  }

  @Test
  void logKeepsAppendedRecords() throws Exception {
    assertEquals("{\"offset\":0}", post(platform.address(), "/log/0/records", "a").body());
    assertEquals("{\"offset\":1}", post(platform.address(), "/log/0/records", "b").body());
    String records = get(platform.address(), "/log/0/records?from=1").body();
    assertTrue(
        records.startsWith("{\"earliest\":0,\"next\":2,\"records\":[{\"offset\":1,"), records);
  }

  // With the fault of lost answers, the connection of the writer closes without an answer although
  // the record is stored.
  @Test
  void lostAnswerClosesTheConnectionAfterTheWrite() throws Exception {
    HttpRequest faults =
        request(platform.adminAddress(), "/faults")
            .PUT(BodyPublishers.ofString("{\"lost_answer_share\":1}"))
            .build();
    assertEquals(200, client.send(faults, BodyHandlers.ofString()).statusCode());
    assertThrows(IOException.class, () -> post(platform.address(), "/log/0/records", "a"));
    assertTrue(get(platform.address(), "/log/0/records").body().contains("\"next\":1"));
  }

  // An engine receives SIGTERM while it streams an answer. It must be listed as leaving, complete
  // the answer, and exit with status 0 only afterwards.
  @Test
  void leavingEngineIsListedAsLeavingAndCompletesItsRequests(@TempDir Path folder)
      throws Exception {
    try (LaunchedProcess engine =
        LaunchedProcess.daemon(
            "teaseldeal-standin", "engine", "--settings", engineSettings(folder).toString())) {
      awaitList("\"state\":\"live\"");
      var answer =
          client.sendAsync(
              request(engine.address(), "/v1/chat/completions")
                  .header("Request-Id", "r1")
                  .header("Attempt-Id", "a1")
                  .POST(
                      BodyPublishers.ofString(
                          "{\"messages\":[],\"max_tokens\":100,\"x_output_tokens\":100}"))
                  .build(),
              BodyHandlers.ofString());
      awaitStarted(engine);
      var status = CompletableFuture.supplyAsync(() -> terminate(engine));
      awaitList("\"state\":\"leaving\"");
      String text = answer.join().body();
      assertTrue(text.contains("\"completion_tokens\":100"), text);
      assertTrue(text.endsWith("data: [DONE]\n\n"), text);
      assertEquals(0, status.join());
      awaitList("\"instances\":[]");
    }
  }

  // A request crashes the engine. The caller's connection must break, and the process must exit
  // with status 70.
  @Test
  void crashingRequestEndsTheEngineProcess() throws Exception {
    try (LaunchedProcess engine = LaunchedProcess.daemon("teaseldeal-standin", "engine")) {
      HttpRequest faults =
          request(engine.adminAddress(), "/faults")
              .PUT(BodyPublishers.ofString("{\"crash_mode\":\"exit\"}"))
              .build();
      assertEquals(200, client.send(faults, BodyHandlers.ofString()).statusCode());
      HttpRequest crashing =
          request(engine.address(), "/v1/chat/completions")
              .header("Request-Id", "r1")
              .header("Attempt-Id", "a1")
              .POST(BodyPublishers.ofString("{\"messages\":[{\"content\":\"crash-the-engine\"}]}"))
              .build();
      assertThrows(IOException.class, () -> client.send(crashing, BodyHandlers.ofString()));
      assertEquals(70, engine.awaitExit());
    }
  }

  @Test
  void plainServiceReportsTheNumberOfRunsOfACall() throws Exception {
    try (LaunchedProcess service = LaunchedProcess.daemon("teaseldeal-standin", "service")) {
      HttpRequest call =
          request(service.address(), "/bids")
              .header("Request-Id", "r1")
              .POST(BodyPublishers.ofString("bid"))
              .build();
      assertEquals(200, client.send(call, BodyHandlers.ofString()).statusCode());
      assertEquals(
          "{\"by_request\":{\"r1\":1},\"by_key\":{}}", get(service.adminAddress(), "/ran").body());
    }
  }

  @Test
  void platformExitsWithStatusZeroOnSigterm() throws Exception {
    assertEquals(0, platform.terminate());
  }

  @Test
  void addressInUseIsAnError() throws Exception {
    String port = platform.address().substring(platform.address().indexOf(':') + 1);
    Process second = LaunchedProcess.start("teaseldeal-standin", "platform", "--port", port);
    assertEquals(4, second.waitFor());
  }

  private Path engineSettings(Path folder) throws IOException {
    return Files.writeString(
        folder.resolve("engine.toml"),
        """
        [registration]
        platform = "%s"
        renew_every = "100ms"
        leave_time = "700ms"
        """
            .formatted(platform.address()));
  }

  private static int terminate(LaunchedProcess process) {
    try {
      return process.terminate();
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  private void awaitList(String part) throws Exception {
    await(platform.address(), "/instances", part);
  }

  private void awaitStarted(LaunchedProcess engine) throws Exception {
    await(engine.adminAddress(), "/stats", "\"started\":1");
  }

  private void await(String address, String path, String part) throws Exception {
    long end = System.nanoTime() + TIMEOUT.toNanos();
    String body = get(address, path).body();
    while (!body.contains(part)) {
      assertTrue(System.nanoTime() < end, "waited for " + part + ", last was " + body);
      Thread.sleep(20);
      body = get(address, path).body();
    }
  }

  private HttpResponse<String> get(String address, String path) throws Exception {
    return client.send(request(address, path).build(), BodyHandlers.ofString());
  }

  private HttpResponse<String> post(String address, String path, String body) throws Exception {
    return client.send(
        request(address, path).POST(BodyPublishers.ofString(body)).build(),
        BodyHandlers.ofString());
  }

  private static HttpRequest.Builder request(String address, String path) {
    return HttpRequest.newBuilder(URI.create("http://" + address + path)).timeout(TIMEOUT);
  }
}
