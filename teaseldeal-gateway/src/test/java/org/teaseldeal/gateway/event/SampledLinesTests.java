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

  /**
   * On a quiet instance the log must show for each refused request whether it was served when its
   * caller retried.
   */
  @Test
  void keepsEveryLineOfAQuietInstance() {
    for (int i = 0; i < 100; i++) {
      log.accept(ended("r" + i, "answered"));
      clock.advance(Duration.ofMillis(100));
    }
    assertEquals(100, lines());
  }

  /** On a busy instance the log must not cost as much as the requests themselves. */
  @Test
  void samplesTheLinesOfServedRequestsOnABusyInstance() {
    for (int i = 0; i < 1_000; i++) {
      log.accept(ended("r" + i, "answered"));
    }
    assertTrue(lines() < 250, "the lines of 1,000 requests in the same second were not sampled");
  }

  /** An instance that hands most requests over is late, and has no time for a line of each. */
  @Test
  void samplesTheLinesOfHandedOverRequestsButNotOfLostOnes() {
    for (int i = 0; i < 1_000; i++) {
      log.accept(new GatewayEvent.HandedOver("r" + i, "10.0.0.2:1", Duration.ofMillis(100)));
    }
    for (int i = 0; i < 100; i++) {
      log.accept(new GatewayEvent.HandoverLost("r" + i, "10.0.0.2:1", false, false, "reset"));
    }
    long lines = lines();
    assertTrue(lines >= 100 && lines < 350, lines + " lines were written");
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
