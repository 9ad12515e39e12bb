package org.teaseldeal.cli.log;

import java.util.LinkedHashMap;
import java.util.Map;
import org.tinylog.Logger;
import org.tinylog.ThreadContext;

/**
 * A log line with named fields.
 *
 * <p>Fields must never contain a bearer token or a prompt.
 */
public final class LogLine {
  private final String message;
  private final Map<String, String> fields = new LinkedHashMap<>();

  private LogLine(String message) {
    this.message = message;
  }

  /** Starts a line with {@code message}. */
  public static LogLine of(String message) {
    return new LogLine(message);
  }

  /** Adds a field. */
  public LogLine with(String field, Object value) {
    fields.put(field, String.valueOf(value));
    return this;
  }

  /** Writes the line at level info. */
  public void info() {
    write(() -> Logger.info(message));
  }

  /** Writes the line at level warn. */
  public void warn() {
    write(() -> Logger.warn(message));
  }

  /** Writes the line at level debug. */
  public void debug() {
    write(() -> Logger.debug(message));
  }

  /** Writes the line at level error, with {@code cause} and its stack trace. */
  public void error(Throwable cause) {
    write(() -> Logger.error(cause, message));
  }

  private void write(Runnable log) {
    fields.forEach(ThreadContext::put);
    try {
      log.run();
    } finally {
      fields.keySet().forEach(ThreadContext::remove);
    }
  }
}
