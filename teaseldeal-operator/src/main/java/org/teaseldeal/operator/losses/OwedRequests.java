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
 * The requests that callers were owed an answer to, as counted by an observer of all callers, such
 * as a load generator.
 *
 * @param byKind the kinds of requests by their name in the logs, such as {@code stream 400 ms}
 */
public record OwedRequests(Map<String, Kind> byKind) {
  /** The value if nothing is known: each request then has a worth of 1. */
  public static final OwedRequests UNKNOWN = new OwedRequests(Map.of());

  /**
   * One kind of request.
   *
   * @param name the name of the kind for people
   * @param requests the number of requests that were owed an answer
   * @param inTime the number of those that were answered in time
   * @param worth the worth of an answer in time
   * @param lateWorth the worth of a late answer
   */
  public record Kind(String name, long requests, long inTime, double worth, double lateWorth) {}

  private static final Pattern KIND_PATTERN = Pattern.compile("(.*) ([0-9.]+) ms");

  private static final Kind DEFAULT_KIND = new Kind("", 0, 0, 1, 0);

  public OwedRequests {
    byKind = Map.copyOf(byKind);
  }

  /**
   * Reads a file of the form:
   *
   * <pre>{@code
   * {"kinds":[{"kind":"stream 400 ms","name":…,"requests":…,"in_time":…,"worth":…,"late_worth":…}]}
   * }</pre>
   *
   * @throws IOException with the name of the file and of the field, if the file can't be read
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
   * Returns the kind that the logs call {@code label}. The latency target in the logs is the one of
   * the route, which may leave some time for the network between instance and caller and so differ
   * from the target in the file. If no kind has exactly this label, the kind of the same sort whose
   * target is nearest is used, if it lies within a third of the logged target.
   */
  private Optional<Kind> kind(String label) {
    Matcher requested = KIND_PATTERN.matcher(label);
    if (byKind.containsKey(label) || !requested.matches()) {
      return Optional.ofNullable(byKind.get(label));
    }
    double target = Double.parseDouble(requested.group(2));
    Kind nearest = null;
    double smallestDifference = target / 3;
    for (Map.Entry<String, Kind> entry : byKind.entrySet()) {
      Matcher known = KIND_PATTERN.matcher(entry.getKey());
      if (known.matches() && known.group(1).equals(requested.group(1))) {
        double difference = Math.abs(Double.parseDouble(known.group(2)) - target);
        if (difference <= smallestDifference) {
          nearest = entry.getValue();
          smallestDifference = difference;
        }
      }
    }
    return Optional.ofNullable(nearest);
  }

  /** Returns the worth that is lost with a request of {@code kind}. */
  double lostWorth(String kind, AttemptOutcome outcome) {
    Kind known = kind(kind).orElse(DEFAULT_KIND);
    return switch (outcome) {
      case IN_TIME -> 0;
      case LATE -> known.worth() - known.lateWorth();
      case REFUSED, FAILED -> known.worth();
    };
  }

  /** Returns the name of a kind for people. */
  String displayName(String kind) {
    return kind(kind).map(Kind::name).orElse(kind);
  }

  /**
   * Returns the number of requests that were owed an answer and not answered in time; empty if it
   * is unknown.
   */
  Optional<Long> unserved() {
    return byKind.isEmpty()
        ? Optional.empty()
        : Optional.of(byKind.values().stream().mapToLong(k -> k.requests() - k.inTime()).sum());
  }
}
