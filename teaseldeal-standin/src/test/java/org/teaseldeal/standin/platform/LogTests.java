package org.teaseldeal.standin.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
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
 * Guards against a log stand-in that deviates from the log that instances rely on: offsets,
 * retention, rate limit, waiting reads, and answers that are lost after the record was stored.
 */
class LogTests {
  private static final String SETTINGS =
      """
      [log]
      retention = "10s"
      retention_records = 3
      appends_per_second = 2
      append_burst = 4
      max_record_size = "64B"
      """;

  private final ManualTime time = new ManualTime();
  private final ActiveFaults<PlatformFaults> faults =
      new ActiveFaults<>(PlatformFaults.NONE, PlatformFaults::read);
  private final PlatformHandler platform =
      new PlatformHandler(time, time, settings(), faults, new History(time, 100));

  @Test
  void offsetsCountFromZeroInEachStream() {
    assertEquals(0, append("a").json().get("offset").asLong());
    assertEquals(1, append("b").json().get("offset").asLong());
    assertEquals(0, send("POST", "/log/1/records", "c").json().get("offset").asLong());
  }

  @Test
  void readReturnsRecordsWithTimeAndPayload() {
    append("a");
    ObjectNode answer = read("from=0");
    assertEquals(0, answer.get("earliest").asLong());
    assertEquals(1, answer.get("next").asLong());
    assertEquals(
        "{\"offset\":0,\"appended_at\":\"2026-01-01T00:00:00Z\",\"payload\":\"YQ==\"}",
        answer.at("/records/0").toString());
  }

  @Test
  void maxLimitsTheRecordsOfARead() {
    append("a");
    append("b");
    assertEquals(1, read("from=0&max=1").get("records").size());
  }

  @Test
  void oversizedRecordIsRejected() {
    assertEquals(413, append("x".repeat(65)).status());
    assertEquals(0, read("from=0").get("next").asLong());
  }

  @Nested
  class Retention {
    @Test
    void recordsBeyondTheCountAreDropped() {
      for (String payload : new String[] {"a", "b", "c", "d"}) {
        append(payload);
      }
      FakeExchange expired = send("GET", "/log/0/records?from=0", "");
      assertEquals(410, expired.status());
      assertEquals("{\"earliest\":1,\"next\":4}", expired.text());
      assertEquals(3, read("from=1").get("records").size());
    }

    @Test
    void recordsBeyondTheAgeAreDroppedAndOffsetsContinue() {
      append("a");
      time.advanceMillis(10_001);
      assertEquals(410, send("GET", "/log/0/records?from=0", "").status());
      assertEquals(1, append("b").json().get("offset").asLong());
      assertEquals(1, read("from=1").get("records").size());
    }
  }

  @Test
  void recordsBeyondTheSizeAreDropped() {
    LogStream stream = new LogStream(time, Duration.ofHours(1), 100, 10);
    stream.append(new byte[6]);
    stream.append(new byte[4]);
    assertEquals(0, stream.earliestOffset());
    stream.append(new byte[1]);
    assertEquals(1, stream.earliestOffset());
    assertEquals(3, stream.nextOffset());
  }

  @Nested
  class Rate {
    @Test
    void appendsBeyondTheSharedRateAreRejectedUntilTheBucketRefills() {
      for (int i = 0; i < 4; i++) {
        assertEquals(200, send("POST", "/log/" + i + "/records", "a").status());
      }
      assertEquals(429, append("b").status());
      time.advanceMillis(500);
      assertEquals(200, append("b").status());
      assertEquals(429, append("c").status());
    }
  }

  @Nested
  class Waiting {
    @Test
    void readIsAnsweredAsSoonAsThereIsARecord() {
      FakeExchange waiting = send("GET", "/log/0/records?from=0&wait_ms=5000", "");
      time.advanceMillis(1_000);
      assertEquals(0, waiting.status());
      append("a");
      assertEquals(1, waiting.json().get("records").size());
    }

    @Test
    void readIsAnsweredWithoutRecordsAfterTheWait() {
      FakeExchange waiting = send("GET", "/log/0/records?from=0&wait_ms=5000", "");
      time.advanceMillis(5_000);
      assertEquals(0, waiting.json().get("records").size());
    }

    @Test
    void readOfADisconnectedCallerIsCancelled() {
      FakeExchange waiting = send("GET", "/log/0/records?from=0&wait_ms=5000", "");
      waiting.disconnectCaller();
      time.advanceMillis(0);
      append("a");
      assertEquals(0, waiting.status());
    }
  }

  @Nested
  class Faults {
    // The writer's connection is closed without an answer, so the writer can't know whether the
    // record was stored. The fault loses the answer after the append, so a reader finds the record.
    @Test
    void lostAnswerLeavesTheRecordStored() {
      set("{\"lost_answer_share\":1}");
      FakeExchange append = append("a");
      assertEquals(0, append.status());
      assertTrue(append.aborted());
      assertEquals(1, read("from=0").get("records").size());
    }

    @Test
    void outageRejectsAppendsAndReadsAndStoresNothing() {
      set("{\"log_outage\":true}");
      assertEquals(503, append("a").status());
      assertEquals(503, send("GET", "/log/0/records?from=0", "").status());
      set("{\"log_outage\":false}");
      assertEquals(0, read("from=0").get("next").asLong());
    }

    @Test
    void slowAppendTakesEffectLate() {
      set("{\"append_latency_ms\":300}");
      FakeExchange append = append("a");
      assertEquals(0, read("from=0").get("next").asLong());
      time.advanceMillis(300);
      assertEquals(200, append.status());
      assertEquals(1, read("from=0").get("next").asLong());
    }

    @Test
    void silentLogNeitherAnswersNorStores() {
      set("{\"log_silent\":true}");
      assertEquals(0, append("a").status());
      set("{\"log_silent\":false}");
      assertEquals(0, read("from=0").get("next").asLong());
    }
  }

  private void set(String json) {
    faults.update(Json.readObject(json.getBytes(java.nio.charset.StandardCharsets.UTF_8)));
  }

  private FakeExchange append(String payload) {
    return send("POST", "/log/0/records", payload);
  }

  private ObjectNode read(String query) {
    return send("GET", "/log/0/records?" + query, "").json();
  }

  private FakeExchange send(String method, String path, String body) {
    FakeExchange exchange = new FakeExchange(method, path, body);
    platform.handle(exchange);
    return exchange;
  }

  private static PlatformSettings settings() {
    return switch (TomlDocument.read(SETTINGS, PlatformSettings::read)) {
      case Parsed.Valid<PlatformSettings>(PlatformSettings settings) -> settings;
      case Parsed.Invalid<PlatformSettings> invalid ->
          throw new AssertionError(invalid.problems().toString());
    };
  }
}
