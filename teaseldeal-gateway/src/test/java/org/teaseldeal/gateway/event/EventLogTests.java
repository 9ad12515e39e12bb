package org.teaseldeal.gateway.event;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.time.InstantSource;
import org.junit.jupiter.api.Test;

class EventLogTests {
  /** The two threads meet in the harmful order in some of a hundred rounds. */
  private static final int ROUNDS = 2_000;

  /**
   * The engineer who looks for the last line of a process that was told to stop finds none. The
   * thread that writes had just taken the line from the buffer when the log was closed; the buffer
   * was empty, so the log counted as written and the process ended.
   */
  @Test
  void writesTheLastLineBeforeItIsClosed() {
    InstantSource clock = InstantSource.fixed(Instant.EPOCH);
    for (int round = 0; round < ROUNDS; round++) {
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      EventLog log = EventLog.start(new PrintStream(out), clock, "instance-1");
      log.accept(new GatewayEvent.InstanceState("stopped", "round " + round));
      log.close();
      String text = out.toString(StandardCharsets.UTF_8);
      assertTrue(text.contains("\"round " + round + "\""), "round " + round + ": " + text);
    }
  }
}
