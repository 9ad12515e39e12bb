package org.teaseldeal.operator.losses;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * What callers were owed, as somebody counted it who saw all of them.
 *
 * @param byKind by the kind's name in the logs, such as {@code stream 400 ms}
 */
public record OwedRequests(Map<String, Kind> byKind) {
  /** Nothing is known; each request counts as one. */
  public static final OwedRequests UNKNOWN = new OwedRequests(Map.of());

  /**
   * One kind of request.
   *
   * @param name that people use
   * @param requests that were owed an answer
   * @param inTime of them, answered in time
   * @param worth of an answer in time
   * @param lateWorth of a late one
   */
  public record Kind(String name, long requests, long inTime, double worth, double lateWorth) {}

  private static final Pattern KIND_PATTERN = Pattern.compile("(.*) ([0-9.]+) ms");

  private static final Kind DEFAULT_KIND = new Kind("", 0, 0, 1, 0);

  public OwedRequests {
    byKind = Map.copyOf(byKind);
  }

  /**
   * Reads a file: {@code {"kinds":[{"kind":"stream 400 ms","name":…,"requests":…,"in_time":…,
   * "worth":…,"late_worth":…}]}}.
   *
   * @throws IOException with the file's name and the field, if it can't be read
   */
  public static OwedRequests read(String file) throws IOException {
    try {
      JsonNode root = new ObjectMapper().readTree(Files.readAllBytes(Path.of(file)));
      Map<String, Kind> kinds = new LinkedHashMap<>();
      for (JsonNode kind : root.path("kinds")) {
        kinds.put(
            text(kind, "kind"),
            new Kind(
                text(kind, "name"),
                (long) number(kind, "requests"),
                (long) number(kind, "in_time"),
                number(kind, "worth"),
                number(kind, "late_worth")));
      }
      if (kinds.isEmpty()) {
        throw new IllegalArgumentException("field kinds was empty, expected a kind of request");
      }
      return new OwedRequests(kinds);
    } catch (IOException | IllegalArgumentException e) {
      throw new IOException("file '%s' can't be read: %s".formatted(file, e.getMessage()), e);
    }
  }

  private static String text(JsonNode kind, String field) {
    if (!kind.path(field).isTextual()) {
      throw new IllegalArgumentException("field kinds.%s is missing".formatted(field));
    }
    return kind.path(field).asText();
  }

  private static double number(JsonNode kind, String field) {
    if (!kind.path(field).isNumber()) {
      throw new IllegalArgumentException("field kinds.%s is missing".formatted(field));
    }
    return kind.path(field).asDouble();
  }

  /**
   * The kind that the logs call {@code label}. Their aim is the routes', which may leave some time
   * for the way to the callers; so the nearest of the same sort within a third of it is taken.
   */
  private Optional<Kind> kind(String label) {
    Matcher sought = KIND_PATTERN.matcher(label);
    if (byKind.containsKey(label) || !sought.matches()) {
      return Optional.ofNullable(byKind.get(label));
    }
    double aim = Double.parseDouble(sought.group(2));
    Kind nearest = null;
    double distance = aim / 3;
    for (Map.Entry<String, Kind> entry : byKind.entrySet()) {
      Matcher known = KIND_PATTERN.matcher(entry.getKey());
      if (known.matches() && known.group(1).equals(sought.group(1))) {
        double away = Math.abs(Double.parseDouble(known.group(2)) - aim);
        if (away <= distance) {
          nearest = entry.getValue();
          distance = away;
        }
      }
    }
    return Optional.ofNullable(nearest);
  }

  /** The worth that is lost with a request of {@code kind}. */
  double lostWorth(String kind, AttemptOutcome verdict) {
    Kind known = kind(kind).orElse(DEFAULT_KIND);
    return switch (verdict) {
      case IN_TIME -> 0;
      case LATE -> known.worth() - known.lateWorth();
      case REFUSED, FAILED -> known.worth();
    };
  }

  /** The name of a kind for people. */
  String displayName(String kind) {
    return kind(kind).map(Kind::name).orElse(kind);
  }

  /** Requests that were owed and not answered in time; empty if it isn't known. */
  Optional<Long> unserved() {
    return byKind.isEmpty()
        ? Optional.empty()
        : Optional.of(byKind.values().stream().mapToLong(k -> k.requests() - k.inTime()).sum());
  }
}
