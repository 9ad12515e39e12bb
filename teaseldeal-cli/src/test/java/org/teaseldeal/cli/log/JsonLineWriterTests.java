package org.teaseldeal.cli.log;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.tinylog.Level;
import org.tinylog.core.LogEntry;
import org.tinylog.runtime.PreciseTimestamp;

class JsonLineWriterTests {
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final JsonLineWriter writer =
      new JsonLineWriter(new PrintStream(out, true, StandardCharsets.UTF_8));

  @AfterEach
  void resetLevel() {
    LogLevelFilter.set("info");
  }

  @Test
  void writesOneObjectPerLineForAnyText() {
    writer.write(entry(Level.INFO, "a \"b\"\nc", null));
    assertEquals(
        """
        {"time":"TIME","level":"info","message":"a \\"b\\"\\nc","logger":"x.Y","request":"r1-1"}
        """,
        text());
  }

  @Test
  void writesExceptionsIntoTheSameLine() {
    IllegalStateException cause = new IllegalStateException("why");
    cause.setStackTrace(new StackTraceElement[] {new StackTraceElement("A", "b", "A.java", 3)});
    writer.write(entry(Level.ERROR, "failed", cause));
    assertEquals(
        """
        {"time":"TIME","level":"error","message":"failed","logger":"x.Y","request":"r1-1",\
        "exception":"java.lang.IllegalStateException: why","trace":["A.b(A.java:3)"]}
        """,
        text());
  }

  @Test
  void appliesTheLevelSetAtRunTime() {
    writer.write(entry(Level.DEBUG, "before", null));
    assertEquals("", text());
    assertEquals(Optional.of(Level.DEBUG), LogLevelFilter.set("debug"));
    writer.write(entry(Level.DEBUG, "after", null));
    assertEquals(1, text().lines().count());
    assertEquals(Optional.empty(), LogLevelFilter.set("loud"));
  }

  private static LogEntry entry(Level level, String message, @Nullable Throwable exception) {
    return new LogEntry(
        new PreciseTimestamp(),
        Thread.currentThread(),
        Map.of("request", "r1-1"),
        "x.Y",
        "z",
        "Y.java",
        1,
        null,
        level,
        message,
        exception);
  }

  private String text() {
    return out.toString(StandardCharsets.UTF_8)
        .replaceAll("\"time\":\"[^\"]+\"", "\"time\":\"TIME\"");
  }
}
