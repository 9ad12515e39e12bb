package org.teaseldeal.bench.fault;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * The events observed during a run, in the order of their observation. A history is read and
 * written as JSON lines.
 */
public final class History {
  private static final ObjectMapper JSON = new ObjectMapper();

  private final List<HistoryEvent> events = new ArrayList<>();

  /** Appends an event. */
  public void add(HistoryEvent event) {
    events.add(event);
  }

  /** Returns all events of one kind, in their order. */
  public <T extends HistoryEvent> Stream<T> all(Class<T> kind) {
    return events.stream().filter(kind::isInstance).map(kind::cast);
  }

  /** Returns the history as JSON lines. */
  public String toLines() {
    return events.stream().map(History::line).collect(Collectors.joining("\n", "", "\n"));
  }

  /**
   * Reads a history from JSON lines. Blank lines are skipped.
   *
   * @throws IllegalArgumentException if a line is not an event; the message names its number
   */
  public static History ofLines(String text) {
    History history = new History();
    int number = 0;
    for (String line : text.lines().toList()) {
      number++;
      if (line.isBlank()) {
        continue;
      }
      try {
        history.add(JSON.readValue(line, HistoryEvent.class));
      } catch (JsonProcessingException e) {
        throw new IllegalArgumentException(
            "line %d is not a history event: %s".formatted(number, e.getOriginalMessage()), e);
      }
    }
    return history;
  }

  private static String line(HistoryEvent event) {
    try {
      return JSON.writerFor(HistoryEvent.class).writeValueAsString(event);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("could not write the event " + event, e);
    }
  }
}
