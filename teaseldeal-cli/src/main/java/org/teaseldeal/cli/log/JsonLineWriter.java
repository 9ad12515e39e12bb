package org.teaseldeal.cli.log;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.EnumSet;
import java.util.Locale;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.tinylog.core.LogEntry;
import org.tinylog.core.LogEntryValue;
import org.tinylog.writers.AbstractWriter;

/** A tinylog writer that prints each log entry to standard error as one line of JSON. */
public final class JsonLineWriter extends AbstractWriter {
  private static final int MAX_TRACE_FRAMES = 20;

  private final PrintStream out;

  /** Creates a writer; tinylog calls this constructor with the configured properties. */
  public JsonLineWriter(Map<String, String> properties) {
    super(properties);
    this.out = System.err;
  }

  JsonLineWriter(PrintStream out) {
    super(Map.of());
    this.out = out;
  }

  @Override
  public Collection<LogEntryValue> getRequiredLogEntryValues() {
    return EnumSet.of(
        LogEntryValue.DATE,
        LogEntryValue.LEVEL,
        LogEntryValue.CLASS,
        LogEntryValue.MESSAGE,
        LogEntryValue.CONTEXT,
        LogEntryValue.EXCEPTION);
  }

  @Override
  public void write(LogEntry entry) {
    if (!LogLevelFilter.isEnabled(entry.getLevel())) {
      return;
    }
    ObjectNode line =
        JsonNodeFactory.instance
            .objectNode()
            .put("time", entry.getTimestamp().toInstant().toString())
            .put("level", entry.getLevel().name().toLowerCase(Locale.ROOT))
            .put("message", entry.getMessage());
    if (!entry.getClassName().equals(LogLine.class.getName())) {
      line.put("logger", entry.getClassName());
    }
    entry.getContext().forEach(line::put);
    addException(line, entry.getException());
    byte[] bytes = (line + "\n").getBytes(StandardCharsets.UTF_8);
    out.write(bytes, 0, bytes.length);
    out.flush();
  }

  @Override
  public void flush() {
    out.flush();
  }

  @Override
  public void close() {
    out.flush();
  }

  private static void addException(ObjectNode line, @Nullable Throwable exception) {
    if (exception == null) {
      return;
    }
    line.put("exception", exception.toString());
    var trace = line.putArray("trace");
    for (StackTraceElement frame : exception.getStackTrace()) {
      if (trace.size() == MAX_TRACE_FRAMES) {
        return;
      }
      trace.add(frame.toString());
    }
  }
}
