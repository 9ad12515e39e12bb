package org.teaseldeal.gateway.event;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.teaseldeal.gateway.fake.ManualClock;

class SampledLinesTests {
  private final ManualClock clock = new ManualClock();
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final EventLog log = EventLog.start(new PrintStream(out), clock, "instance-1");

  /** Guards against logs that don't tell whether a refused request was served when it came back. */
  @Test
  void keepsEveryLineOfAQuietInstance() {
    for (int i = 0; i < 100; i++) {
      log.accept(ended("r" + i, "answered"));
      clock.advance(Duration.ofMillis(100));
    }
    assertEquals(100, lines());
  }

  /** Guards against a log that costs a busy instance as much as its requests. */
  @Test
  void keepsAPartOfTheServedRequestsOfABusyInstance() {
    for (int i = 0; i < 1_000; i++) {
      log.accept(ended("r" + i, "answered"));
    }
    assertTrue(lines() < 250, "all lines of 1,000 requests in a moment");
  }

  @Test
  void keepsAllLinesOfRequestsThatWereNotServed() {
    for (int i = 0; i < 1_000; i++) {
      log.accept(ended("r" + i, "no-lease"));
    }
    assertEquals(1_000, lines());
  }

  private long lines() {
    log.close();
    return out.toString(StandardCharsets.UTF_8).lines().count();
  }

  private static GatewayEvent ended(String request, String outcome) {
    return new GatewayEvent.RequestEnded(
        request,
        "route",
        "customer",
        outcome,
        200,
        "",
        1,
        0,
        1,
        Duration.ZERO,
        Duration.ZERO,
        "stream",
        Duration.ofMillis(400),
        "print");
  }
}
