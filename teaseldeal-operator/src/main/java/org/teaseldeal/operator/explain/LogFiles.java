package org.teaseldeal.operator.explain;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The events of several log files.
 *
 * @param unreadable the number of lines that look like events but cannot be parsed, for instance
 *     because the process was killed while it wrote its last line
 */
public record LogFiles(List<EventLine> events, int unreadable) {
  public LogFiles {
    events = List.copyOf(events);
  }

  /**
   * Reads all {@code files}.
   *
   * @throws IOException with the name of the file, if a file can't be read
   */
  public static LogFiles read(List<String> files) throws IOException {
    List<EventLine> events = new ArrayList<>();
    int unreadable = 0;
    for (String file : files) {
      try (BufferedReader lines = Files.newBufferedReader(Path.of(file))) {
        for (String line = lines.readLine(); line != null; line = lines.readLine()) {
          unreadable += add(line, events);
        }
      } catch (IOException | InvalidPathException e) {
        throw new IOException("log file '%s' can't be read: %s".formatted(file, e.getMessage()), e);
      }
    }
    return new LogFiles(events, unreadable);
  }

  private static int add(String line, List<EventLine> events) {
    try {
      EventLine.read(line).ifPresent(events::add);
      return 0;
    } catch (IllegalArgumentException e) {
      return 1;
    }
  }

  /** Explains how {@code request} ended; empty if the files contain no event that says so. */
  public Optional<Explanation> explain(String request) {
    return RequestHistory.find(request, events)
        .map(history -> Explanation.of(request, history, unreadable));
  }
}
