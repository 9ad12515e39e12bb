package org.teaseldeal.standin.service;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.teaseldeal.standin.admin.History;
import org.teaseldeal.standin.fault.ActiveFaults;
import org.teaseldeal.standin.runtime.FakeExchange;
import org.teaseldeal.standin.runtime.Json;
import org.teaseldeal.standin.runtime.ManualTime;
import org.teaseldeal.standin.settings.SettingsFile;

/**
 * Guards against run counts that miss or invent a run, since a load test finds duplicate runs by
 * these counts alone.
 */
class PlainServiceTests {
  private final ManualTime time = new ManualTime();
  private final ActiveFaults<ServiceFaults> faults =
      new ActiveFaults<>(ServiceFaults.NONE, ServiceFaults::read);
  private final PlainServiceHandler service =
      new PlainServiceHandler(
          time, SettingsFile.defaults(PlainServiceSettings::read), faults, new History(time, 100));

  @Test
  void answerEchoesTheCall() {
    ObjectNode answer = call("r1").json();
    assertEquals("r1", answer.get("request").asText());
    assertEquals("/bids/7?lot=3", answer.get("path").asText());
    assertEquals("{\"bid\":9}", answer.get("body").asText());
    assertEquals(1, answer.get("runs").asInt());
  }

  @Test
  void runsAreCountedByRequestAndByKey() {
    call("r1");
    call("r1");
    call("r2");
    assertEquals("{\"by_request\":{\"r1\":2,\"r2\":1},\"by_key\":{\"k\":3}}", runs());
  }

  /** Guards against answers that a client can match with its attempts only by their order. */
  @Test
  void answersNameTheirAttempt() {
    assertEquals(Optional.of("a1"), call("r1").answeredAttempt());
  }

  @Nested
  class Faults {
    @Test
    void refusedCallIsNotRun() {
      set("{\"refuse_share\":1}");
      FakeExchange refused = call("r1");
      assertEquals(503, refused.status());
      assertEquals(Optional.of("a1"), refused.answeredAttempt());
      assertEquals("{\"by_request\":{},\"by_key\":{}}", runs());
    }

    @Test
    void failedCallWasRun() {
      set("{\"fail_share\":1}");
      assertEquals(500, call("r1").status());
      assertEquals("{\"by_request\":{\"r1\":1},\"by_key\":{\"k\":1}}", runs());
    }

    @Test
    void callWhoseConnectionClosesBeforeItIsNotRun() {
      set("{\"close_before_share\":1}");
      assertTrue(call("r1").aborted());
      assertEquals("{\"by_request\":{},\"by_key\":{}}", runs());
    }

    // A caller can't distinguish this case from a connection closed before the call, but here the
    // call was run.
    @Test
    void callWhoseConnectionClosesAfterItWasRun() {
      set("{\"close_after_share\":1}");
      assertTrue(call("r1").aborted());
      assertEquals("{\"by_request\":{\"r1\":1},\"by_key\":{\"k\":1}}", runs());
    }

    @Test
    void silentCallIsRunAndNeverAnswered() {
      set("{\"silent_after_share\":1}");
      assertEquals(0, call("r1").status());
      assertEquals("{\"by_request\":{\"r1\":1},\"by_key\":{\"k\":1}}", runs());
    }
  }

  private void set(String json) {
    faults.update(Json.readObject(json.getBytes(StandardCharsets.UTF_8)));
  }

  private String runs() {
    ObjectNode answer = Json.object();
    service.describeRuns(answer);
    return answer.toString();
  }

  private FakeExchange call(String requestId) {
    FakeExchange exchange =
        new FakeExchange("POST", "/bids/7?lot=3", "{\"bid\":9}")
            .withHeader("Request-Id", requestId)
            .withHeader("Attempt-Id", "a1")
            .withHeader("Idempotency-Key", "k");
    service.handle(exchange);
    time.advanceMillis(20);
    return exchange;
  }
}
