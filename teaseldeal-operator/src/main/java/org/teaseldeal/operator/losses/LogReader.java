package org.teaseldeal.operator.losses;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.time.DateTimeException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * Reads the logs of instances line by line, without keeping the lines in memory.
 *
 * <p>A log collector may have prefixed each line with the seconds since the start of the load and
 * with a name. The time of the collector then replaces the time that the instance wrote, because
 * the clock of an instance may be adjusted.
 */
final class LogReader {
  /** One event from the log of an instance. */
  record LogEntry(Instant time, String instance, String event, JsonNode fields) {
    String text(String field) {
      return fields.path(field).asText();
    }

    double number(String field) {
      return fields.path(field).asDouble();
    }
  }

  private static final String STDIN = "-";

  /** The number of unreadable lines that are reported by file and line; all of them are counted. */
  private static final int MAX_NAMED_UNREADABLE_LINES = 10;

  private static final Pattern COLLECTOR_PREFIX = Pattern.compile("\\s*(-?\\d+\\.\\d+)\\s.*");
  private static final ObjectReader READER = new ObjectMapper().readerFor(JsonNode.class);

  private final Consumer<LogEntry> consumer;
  private final List<String> unreadableLines = new ArrayList<>();
  private long read;
  private long unreadableCount;

  LogReader(Consumer<LogEntry> consumer) {
    this.consumer = consumer;
  }

  /** Returns the number of lines that were read as events. */
  long read() {
    return read;
  }

  /** Returns the number of lines that look like events but cannot be parsed. */
  long unreadableCount() {
    return unreadableCount;
  }

  /** Returns the first unreadable lines, as file and line number. */
  List<String> unreadableLines() {
    return unreadableLines;
  }

  /**
   * Reads each source: a file, all files of a directory, or standard input for a dash.
   *
   * @throws IOException with the name of the source, if a source can't be read
   */
  void readAll(List<String> sources, InputStream standardInput) throws IOException {
    for (String source : sources) {
      try {
        if (source.equals(STDIN)) {
          read("standard input", standardInput);
        } else {
          for (Path file : files(Path.of(source))) {
            try (InputStream in = Files.newInputStream(file)) {
              read(file.toString(), in);
            }
          }
        }
      } catch (IOException | UncheckedIOException | InvalidPathException e) {
        throw new IOException("log '%s' can't be read: %s".formatted(source, e.getMessage()), e);
      }
    }
  }

  private static List<Path> files(Path source) throws IOException {
    if (!Files.isDirectory(source)) {
      return List.of(source);
    }
    try (Stream<Path> entries = Files.list(source)) {
      return entries.filter(Files::isRegularFile).sorted().toList();
    }
  }

  private void read(String name, InputStream in) throws IOException {
    BufferedReader lines =
        new BufferedReader(new InputStreamReader(in, StandardCharsets.ISO_8859_1));
    long number = 0;
    for (String line = lines.readLine(); line != null; line = lines.readLine()) {
      number++;
      int start = line.indexOf("{\"time\"");
      if (start >= 0) {
        handle(name, number, line.substring(0, start), line.substring(start));
      }
    }
  }

  private void handle(String name, long number, String prefix, String json) {
    LogEntry line;
    try {
      line = parse(prefix, json);
    } catch (JsonProcessingException | DateTimeException | IllegalArgumentException e) {
      unreadableCount++;
      if (unreadableLines.size() < MAX_NAMED_UNREADABLE_LINES) {
        unreadableLines.add(name + ", line " + number);
      }
      return;
    }
    read++;
    consumer.accept(line);
  }

  private static LogEntry parse(String prefix, String json) throws JsonProcessingException {
    JsonNode fields = READER.readTree(json);
    String instance = fields.path("instance").asText();
    String event = fields.path("event").asText();
    if (instance.isEmpty() || event.isEmpty()) {
      throw new IllegalArgumentException("instance or event is missing");
    }
    Matcher seconds = COLLECTOR_PREFIX.matcher(prefix);
    Instant time =
        seconds.matches()
            ? Instant.EPOCH.plusNanos(Math.round(Double.parseDouble(seconds.group(1)) * 1e9))
            : Instant.parse(fields.path("time").asText());
    return new LogEntry(time, instance, event, fields);
  }
}
