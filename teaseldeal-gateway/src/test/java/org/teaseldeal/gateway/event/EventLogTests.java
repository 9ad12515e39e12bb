package org.teaseldeal.gateway.event;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.time.InstantSource;
import org.junit.jupiter.api.Test;

class EventLogTests {
  /** The race between the two threads shows in some of a hundred rounds. */
  private static final int ROUNDS = 2_000;

  private static final int MAX_WAITS = 60_000;

  /**
   * The writer thread may have just taken the last line from the buffer when the log is closed. If
   * closing took the empty buffer as proof that all lines were written, the process would exit
   * before its last line is written.
   */
  @Test
  void writesTheLastLineBeforeItIsClosed() throws InterruptedException {
    InstantSource clock = InstantSource.fixed(Instant.EPOCH);
    loadClassesOfTheWriter(clock);
    for (int round = 0; round < ROUNDS; round++) {
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      EventLog log = EventLog.start(new PrintStream(out), clock, "instance-1");
      log.accept(new GatewayEvent.InstanceState("stopped", "round " + round));
      log.close();
      String text = out.toString(StandardCharsets.UTF_8);
      assertTrue(text.contains("\"round " + round + "\""), "round " + round + ": " + text);
    }
  }

  /** The first line of a process may take longer than closing waits, on a busy machine. */
  private static void loadClassesOfTheWriter(InstantSource clock) throws InterruptedException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    EventLog log = EventLog.start(new PrintStream(out, true), clock, "instance-1");
    log.accept(new GatewayEvent.InstanceState("stopped", "first line"));
    for (int waits = 0; out.size() == 0 && waits < MAX_WAITS; waits++) {
      Thread.sleep(1);
    }
    log.close();
  }
}
