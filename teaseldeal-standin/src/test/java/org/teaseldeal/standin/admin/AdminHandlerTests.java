package org.teaseldeal.standin.admin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.teaseldeal.standin.fault.ActiveFaults;
import org.teaseldeal.standin.fault.FramingChoice;
import org.teaseldeal.standin.platform.PlatformFaults;
import org.teaseldeal.standin.runtime.FakeExchange;
import org.teaseldeal.standin.runtime.ManualTime;

/**
 * Guards against fault updates that change more than their keys or that are applied in part, and
 * against a history that hides how many events there were.
 */
class AdminHandlerTests {
  private final ManualTime time = new ManualTime();
  private final ActiveFaults<PlatformFaults> faults =
      new ActiveFaults<>(PlatformFaults.NONE, PlatformFaults::read);
  private final History history = new History(time, 2);
  private final AdminHandler<PlatformFaults> admin =
      new AdminHandler<>(faults, history, stats -> stats.put("depth", 4), Map.of());

  @Test
  void faultKeysAbsentFromAnUpdateKeepTheirValues() {
    put("{\"log_outage\":true}");
    put("{\"append_latency_ms\":7}");
    assertEquals(true, faults.current().logOutage());
    assertEquals(7, faults.current().appendLatencyMs());
    assertEquals(
        faults.current().appendLatencyMs(),
        send(FakeExchange.get("/faults")).json().get("append_latency_ms").asLong());
  }

  @Test
  void faultsOfAnswersAreReadAndSetUnderTheSameKeys() {
    put("{\"framing\":\"connection-end\",\"broken_off_share\":0.25}");
    assertEquals(FramingChoice.CONNECTION_END, faults.current().answers().framing());
    assertEquals(0.25, faults.current().answers().brokenOffShare());
    JsonNode shown = send(FakeExchange.get("/faults")).json();
    assertEquals("connection-end", shown.get("framing").asText());
    assertEquals(200, put(shown.toString()).status());
  }

  @Test
  void invalidUpdateChangesNothingAndReportsAllProblems() {
    FakeExchange answer =
        put("{\"log_outage\":true,\"lost_answer_share\":2,\"list_lag_ms\":\"x\",\"typo\":1}");
    assertEquals(400, answer.status());
    assertEquals(PlatformFaults.NONE, faults.current());
    assertEquals(
        "lost_answer_share: was 2, expected a number from 0.0 to 1.0; list_lag_ms: was \"x\","
            + " expected a whole number from 0 to 3600000; typo: unknown key, expected one of:"
            + " append_latency_ms, broken_off_reset_share, broken_off_share,"
            + " broken_off_within_bytes, framing, list_lag_ms, list_latency_ms, list_outage,"
            + " log_outage, log_silent, lost_answer_share, read_latency_ms, seed,"
            + " silent_answer_share, weights_outage",
        answer.json().get("error").asText());
  }

  // Guards against runs with random faults that can't be repeated from their seed.
  @Test
  void seedRestartsTheRandomDecisions() {
    put("{\"seed\":9}");
    List<Boolean> first = decisions();
    put("{\"append_latency_ms\":7}");
    assertNotEquals(first, decisions());
    put("{\"seed\":9}");
    assertEquals(first, decisions());
  }

  @Test
  void historyKeepsTheLatestLinesAndCountsAllEvents() {
    history.add("append", line -> line.put("offset", 0));
    history.add("append", line -> line.put("offset", 1));
    history.add("read", line -> {});
    assertEquals(
        """
        {"seq":1,"at":"2026-01-01T00:00:00Z","kind":"append","offset":1}
        {"seq":2,"at":"2026-01-01T00:00:00Z","kind":"read"}
        """,
        send(FakeExchange.get("/history")).text());
    assertEquals(
        "{\"counts\":{\"append\":2,\"read\":1},\"depth\":4}",
        send(FakeExchange.get("/stats")).text());
  }

  private List<Boolean> decisions() {
    return Stream.generate(() -> faults.shouldInject(0.5)).limit(64).toList();
  }

  private FakeExchange put(String json) {
    return send(new FakeExchange("PUT", "/faults", json));
  }

  private FakeExchange send(FakeExchange exchange) {
    admin.handle(exchange);
    return exchange;
  }
}
