package org.teaseldeal.standin.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.teaseldeal.settings.SettingsParser.Parsed;
import org.teaseldeal.settings.toml.TomlDocument;
import org.teaseldeal.standin.admin.History;
import org.teaseldeal.standin.fault.ActiveFaults;
import org.teaseldeal.standin.runtime.FakeExchange;
import org.teaseldeal.standin.runtime.Json;
import org.teaseldeal.standin.runtime.ManualTime;

/**
 * Tests an engine that runs up to two requests at once. An iteration takes 10 ms, 1 ms more for
 * each running request and 1 ms more for each uncached prompt token. Without requests there are no
 * iterations.
 */
class EngineTests {
  private static final String SETTINGS =
      """
      load_lag = "50ms"
      [batch]
      max_running = 2
      max_waiting = 3
      iteration_micros = 10000
      per_request_micros = 1000
      prefill_token_micros = 1000
      [cache]
      blocks = 8
      block_tokens = 2
      event_lag = "100ms"
      event_loss_share = 0
      [answers]
      keep_for = "10s"
      """;
  private static final String PROMPT = "Is channel 16 free?";

  private final ManualTime time = new ManualTime();
  private final ActiveFaults<EngineFaults> faults =
      new ActiveFaults<>(EngineFaults.NONE, EngineFaults::read);
  private final History history = new History(time, 1_000);
  private boolean exited;
  private final EngineHandler engine =
      new EngineHandler(time, time, settings(), faults, history, () -> exited = true);

  @Nested
  class Answers {
    @Test
    void answerHasAllFramesAndTheExactUsage() {
      FakeExchange answer = submit("r1", "a1", PROMPT, 3);
      time.advanceMillis(1_000);
      assertTrue(answer.finished());
      assertTrue(answer.text().endsWith("data: [DONE]\n\n"));
      assertEquals(expected("r1", PROMPT, 0, 3), answer.content());
      List<ObjectNode> events = answer.events();
      assertEquals(4, events.size());
      for (int position = 0; position < 4; position++) {
        assertEquals(position, events.get(position).get("position").asInt());
        assertEquals("a1", events.get(position).get("attempt").asText());
      }
      assertEquals("stop", events.get(2).at("/choices/0/finish_reason").asText());
      assertEquals(0, events.get(3).get("choices").size());
      assertEquals(5, events.get(3).at("/usage/prompt_tokens").asInt());
      assertEquals(3, events.get(3).at("/usage/completion_tokens").asInt());
    }

    @Test
    void maxTokensLimitsTheAnswer() {
      FakeExchange answer =
          post("r1", "a1", body(PROMPT, "\"max_tokens\":2,\"x_output_tokens\":9"));
      time.advanceMillis(1_000);
      assertEquals(expected("r1", PROMPT, 0, 2), answer.content());
      assertEquals("length", answer.events().get(1).at("/choices/0/finish_reason").asText());
    }

    @Test
    void malformedRequestsAreRefused() {
      assertEquals(400, post("r1", "a1", "{").status());
      assertEquals(400, post("r1", "a1", "{}").status());
      assertEquals(400, post("r1", "a1", body(PROMPT, "\"max_tokens\":0")).status());
      FakeExchange withoutIds =
          new FakeExchange("POST", "/v1/chat/completions", body(PROMPT, "\"max_tokens\":1"));
      engine.handle(withoutIds);
      assertEquals(400, withoutIds.status());
    }
  }

  @Nested
  class Batching {
    // With 5 uncached prompt tokens, the first iteration takes 10 + 1 + 5 ms and the second 11 ms.
    @Test
    void iterationTakesLongerWithRequestsAndUncachedTokens() {
      FakeExchange answer = submit("r1", "a1", PROMPT, 2);
      time.advanceMillis(15);
      assertEquals(0, answer.events().size());
      time.advanceMillis(1);
      assertEquals(1, answer.events().size());
      time.advanceMillis(11);
      assertTrue(answer.finished());
    }

    // The first two blocks of the second prompt, four tokens, are cached, so one token is uncached.
    @Test
    void cachedPrefixShortensTheFirstIteration() {
      submit("r1", "a1", PROMPT, 1);
      time.advanceMillis(100);
      FakeExchange answer = submit("r2", "a2", PROMPT, 1);
      time.advanceMillis(12);
      assertTrue(answer.finished());
    }

    @Test
    void waitingRequestsJoinByPriorityThenArrival() {
      submit("r1", "a1", "", 1);
      submit("r2", "a2", "", 2);
      FakeExchange normal = submit("r3", "a3", "", 1);
      FakeExchange urgent = post("r4", "a4", body("", "\"x_output_tokens\":1"), "1");
      FakeExchange lastAccepted = submit("r5", "a5", "", 1);
      assertEquals(200, lastAccepted.status());
      assertEquals(429, submit("r6", "a6", "", 1).status());
      time.advanceMillis(11 + 12);
      assertTrue(urgent.finished());
      assertFalse(normal.finished());
      time.advanceMillis(100);
      assertTrue(normal.finished());
    }

    @Test
    void slowFactorLengthensIterations() {
      set("{\"slow_factor\":10}");
      FakeExchange answer = submit("r1", "a1", "", 1);
      time.advanceMillis(109);
      assertFalse(answer.finished());
      time.advanceMillis(1);
      assertTrue(answer.finished());
    }
  }

  @Nested
  class KnownRequests {
    @Test
    void secondPostAttachesFromTheStartAndDoesNotRunAgain() {
      FakeExchange first = submit("r1", "a1", PROMPT, 4);
      time.advanceMillis(30);
      FakeExchange second = submit("r1", "a2", PROMPT, 4);
      time.advanceMillis(1_000);
      assertEquals(first.content(), second.content());
      assertEquals("a2", second.events().getFirst().get("attempt").asText());
      assertEquals(1L, history.counts().get("submitted"));
    }

    /** Guards against answers that a client can match with its attempts only by their order. */
    @Test
    void answersNameTheirAttempt() {
      assertEquals(Optional.of("a1"), submit("r1", "a1", PROMPT, 4).answeredAttempt());
      FakeExchange unknown =
          send(FakeExchange.get("/v1/requests/r2/stream").withHeader("Attempt-Id", "a2"));
      assertEquals(Optional.of("a2"), unknown.answeredAttempt());
    }

    // The instance that reads the stream crashes midway. Another instance resumes the stream at the
    // position that the caller's answer has reached.
    @Test
    void resumeContinuesAtThePosition() {
      submit("r1", "a1", PROMPT, 4).disconnectCaller();
      time.advanceMillis(30);
      FakeExchange resumed =
          send(FakeExchange.get("/v1/requests/r1/stream?from=2").withHeader("Attempt-Id", "a2"));
      time.advanceMillis(1_000);
      assertTrue(resumed.finished());
      assertEquals(expected("r1", PROMPT, 2, 4), resumed.content());
    }

    @Test
    void cancelStopsTheRequestAndReturnsItsUsage() {
      FakeExchange answer = submit("r1", "a1", PROMPT, 100);
      time.advanceMillis(16 + 11);
      FakeExchange cancel = send(new FakeExchange("DELETE", "/v1/requests/r1", ""));
      String state =
          "{\"state\":\"cancelled\",\"usage\":{\"prompt_tokens\":5,\"completion_tokens\":2}}";
      assertEquals(state, cancel.text());
      assertTrue(answer.aborted());
      time.advanceMillis(1_000);
      assertEquals(state, send(FakeExchange.get("/v1/requests/r1")).text());
      assertEquals(0, engine.inFlight());
    }

    @Test
    void waitingRequestReportsNoUsage() {
      submit("r1", "a1", "", 9);
      submit("r2", "a2", "", 9);
      submit("r3", "a3", PROMPT, 9);
      assertEquals(
          "{\"prompt_tokens\":0,\"completion_tokens\":0}",
          send(FakeExchange.get("/v1/requests/r3")).json().get("usage").toString());
    }

    @Test
    void finishedRequestIsRemovedAfterItsRetention() {
      submit("r1", "a1", PROMPT, 1);
      time.advanceMillis(1_000);
      assertEquals(
          "finished", send(FakeExchange.get("/v1/requests/r1")).json().get("state").asText());
      time.advanceMillis(10_000);
      assertEquals(404, send(FakeExchange.get("/v1/requests/r1")).status());
    }
  }

  @Nested
  class Reports {
    @Test
    void loadReportLags() {
      submit("r1", "a1", "", 9);
      assertEquals(0, send(FakeExchange.get("/load")).json().get("running").asInt());
      time.advanceMillis(50);
      assertEquals(1, send(FakeExchange.get("/load")).json().get("running").asInt());
    }

    @Test
    void cacheEventsAreDelayed() {
      submit("r1", "a1", PROMPT, 1);
      FakeExchange waiting = send(FakeExchange.get("/cache-events?from=0&wait_ms=1000"));
      time.advanceMillis(99);
      assertEquals(0, waiting.status());
      time.advanceMillis(21);
      assertEquals(2, waiting.json().get("events").size());
      assertEquals(2, waiting.json().get("next").asInt());
    }
  }

  @Nested
  class Faults {
    @Test
    void crashDropsAllRequestsAndClosesTheirConnections() {
      set("{\"crash_mode\":\"forget\",\"crash_marker\":\"poison\",\"crash_after_frames\":1}");
      FakeExchange other = submit("r1", "a1", PROMPT, 50);
      FakeExchange crashing = submit("r2", "a2", "a poison pill", 50);
      time.advanceMillis(1_000);
      assertTrue(other.aborted());
      assertTrue(crashing.aborted());
      assertEquals(1, crashing.events().size());
      assertEquals(404, send(FakeExchange.get("/v1/requests/r1")).status());
      assertFalse(exited);
    }

    @Test
    void crashEndsTheProcess() {
      set("{\"crash_mode\":\"exit\",\"crash_marker\":\"poison\"}");
      submit("r1", "a1", "poison", 5);
      time.advanceMillis(1_000);
      assertTrue(exited);
    }

    // The instance that reads the stream gets some frames and then no more, while the connection
    // stays open. The request keeps running, so a new connection can resume its stream.
    @Test
    void silentStreamStopsWithoutClosingAndCanBeResumed() {
      set("{\"silent_stream_share\":1,\"silent_after_frames\":2}");
      FakeExchange answer = submit("r1", "a1", PROMPT, 5);
      time.advanceMillis(1_000);
      assertEquals(2, answer.events().size());
      assertFalse(answer.finished());
      assertFalse(answer.aborted());
      set("{\"silent_stream_share\":0}");
      FakeExchange resumed =
          send(FakeExchange.get("/v1/requests/r1/stream?from=2").withHeader("Attempt-Id", "a2"));
      assertEquals(expected("r1", PROMPT, 2, 5), resumed.content());
    }

    @Test
    void silentRequestIsNeitherRunNorAnswered() {
      set("{\"silent_request_share\":1}");
      assertEquals(0, submit("r1", "a1", PROMPT, 1).status());
      assertEquals(404, send(FakeExchange.get("/v1/requests/r1")).status());
    }

    @Test
    void crossedFramesCarryAnotherAttemptAndLateFramesRepeatAPosition() {
      set("{\"crossed_frame_share\":1,\"late_frame_share\":1}");
      FakeExchange answer = submit("r1", "a1", PROMPT, 2);
      time.advanceMillis(1_000);
      List<String> frames =
          answer.events().stream()
              .map(event -> event.get("attempt").asText() + "@" + event.get("position").asInt())
              .toList();
      assertEquals(List.of("stray-1@0", "a1@0", "stray-1@1", "a1@1", "a1@0", "a1@2"), frames);
    }

    @Test
    void refusedRequestIsNotRun() {
      set("{\"refuse_share\":1}");
      assertEquals(503, submit("r1", "a1", PROMPT, 1).status());
      assertEquals(404, send(FakeExchange.get("/v1/requests/r1")).status());
    }
  }

  private void set(String json) {
    faults.update(Json.readObject(json.getBytes(StandardCharsets.UTF_8)));
  }

  private FakeExchange submit(String requestId, String attemptId, String prompt, int tokens) {
    return post(requestId, attemptId, body(prompt, "\"x_output_tokens\":" + tokens));
  }

  private FakeExchange post(String requestId, String attemptId, String body) {
    return post(requestId, attemptId, body, "5");
  }

  private FakeExchange post(String requestId, String attemptId, String body, String priority) {
    return send(
        new FakeExchange("POST", "/v1/chat/completions", body)
            .withHeader("Request-Id", requestId)
            .withHeader("Attempt-Id", attemptId)
            .withHeader("Priority", priority));
  }

  private FakeExchange send(FakeExchange exchange) {
    engine.handle(exchange);
    time.advanceMillis(0);
    return exchange;
  }

  private static String body(String prompt, String otherFields) {
    return "{\"messages\":[{\"role\":\"user\",\"content\":\"%s\"}],%s}"
        .formatted(prompt, otherFields);
  }

  private static String expected(String requestId, String prompt, int from, int to) {
    StringBuilder text = new StringBuilder();
    for (int position = from; position < to; position++) {
      text.append(AnswerText.digest(requestId)).append(AnswerText.digest(prompt));
      text.append(':').append(position).append(' ');
    }
    return text.toString();
  }

  private static EngineSettings settings() {
    return switch (TomlDocument.read(SETTINGS, EngineSettings::read)) {
      case Parsed.Valid<EngineSettings>(EngineSettings settings) -> settings;
      case Parsed.Invalid<EngineSettings> invalid ->
          throw new AssertionError(invalid.problems().toString());
    };
  }
}
