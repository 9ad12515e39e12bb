package org.teaseldeal.standin.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.teaseldeal.standin.admin.History;
import org.teaseldeal.standin.fault.ActiveFaults;
import org.teaseldeal.standin.runtime.FakeExchange;
import org.teaseldeal.standin.runtime.ManualTime;
import org.teaseldeal.standin.settings.SettingsFile;

/** Tests the instance list with its default settings: a lag of 500 ms and an expiry of 5 s. */
class InstanceListTests {
  private static final long LAG_MS = 500;

  private final ManualTime time = new ManualTime();
  private final PlatformHandler platform =
      new PlatformHandler(
          time,
          time,
          SettingsFile.defaults(PlatformSettings::read),
          new ActiveFaults<>(PlatformFaults.NONE, PlatformFaults::read),
          new History(time, 100));

  @Test
  void instanceAppearsOnceTheLagHasPassed() {
    put("a", "run-1", "live");
    time.advanceMillis(LAG_MS - 1);
    assertEquals(List.of(), list());
    time.advanceMillis(1);
    assertEquals(List.of("a run-1 live"), list());
  }

  @Test
  void listStatesTheTimeThatItDescribes() {
    assertEquals(
        "2025-12-31T23:59:59.500Z", send("GET", "/instances", "").json().get("as_of").asText());
  }

  @Test
  void instanceWithoutRenewalExpires() {
    put("a", "run-1", "live");
    put("b", "run-1", "live");
    time.advanceMillis(4_000);
    put("b", "run-1", "live");
    time.advanceMillis(1_000 + LAG_MS);
    assertEquals(List.of("b run-1 live"), list());
  }

  @Test
  void removedInstanceStaysListedForTheLag() {
    put("a", "run-1", "live");
    time.advanceMillis(LAG_MS);
    assertEquals(200, send("DELETE", "/instances/a", "").status());
    assertEquals(List.of("a run-1 live"), list());
    time.advanceMillis(LAG_MS);
    assertEquals(List.of(), list());
    assertEquals(404, send("DELETE", "/instances/a", "").status());
  }

  @Test
  void registrationWithMissingFieldsIsRejected() {
    FakeExchange answer = send("PUT", "/instances/a", "{\"role\":\"engine\"}");
    assertEquals(400, answer.status());
    assertEquals("{\"error\":\"incarnation was absent or blank, expected text\"}", answer.text());
  }

  @Nested
  class Leaving {
    @Test
    void outdatedRenewalOfTheSameIncarnationDoesNotCancelLeaving() {
      put("a", "run-1", "leaving");
      put("a", "run-1", "live");
      time.advanceMillis(LAG_MS);
      assertEquals(List.of("a run-1 leaving"), list());
    }

    @Test
    void nextIncarnationIsLive() {
      put("a", "run-1", "leaving");
      put("a", "run-2", "live");
      time.advanceMillis(LAG_MS);
      assertEquals(List.of("a run-2 live"), list());
    }
  }

  private void put(String id, String incarnation, String state) {
    String body =
        """
        {"incarnation":"%s","role":"engine","pool":"models","address":"127.0.0.1:1",
         "data_centre":"havn","state":"%s"}
        """
            .formatted(incarnation, state);
    assertEquals(200, send("PUT", "/instances/" + id, body).status());
  }

  private List<String> list() {
    List<String> instances = new ArrayList<>();
    send("GET", "/instances", "")
        .json()
        .get("instances")
        .forEach(
            node ->
                instances.add(
                    "%s %s %s"
                        .formatted(
                            node.get("id").asText(),
                            node.get("incarnation").asText(),
                            node.get("state").asText())));
    return instances;
  }

  private FakeExchange send(String method, String path, String body) {
    FakeExchange exchange = new FakeExchange(method, path, body);
    platform.handle(exchange);
    return exchange;
  }
}
