package org.teaseldeal.operator.explain;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The logged events of one request, and the state that its instance knew when the request ended.
 *
 * @param lines the events of the request, in order of time
 * @param resumed the events of the attempt that began the stream which the request takes up, if it
 *     takes up one
 * @param knownState the latest event of each kind at the instance that ended the request, up to its
 *     end
 * @param end the event that ended the request
 */
record RequestHistory(
    List<EventLine> lines, List<EventLine> resumed, List<EventLine> knownState, EventLine end) {
  private static final String ENDED = "RequestEnded";

  /** Finds the history of {@code request}; empty if no event says how it ended. */
  static Optional<RequestHistory> find(String request, List<EventLine> all) {
    List<EventLine> sorted = new ArrayList<>(all);
    sorted.sort(Comparator.comparing(EventLine::time));
    List<EventLine> requestLines =
        sorted.stream().filter(line -> line.text("request").equals(request)).toList();
    return requestLines.stream()
        .filter(line -> line.event().equals(ENDED))
        .findFirst()
        .map(
            end ->
                new RequestHistory(
                    requestLines,
                    resumed(requestLines, sorted),
                    knownState(requestLines, end, sorted),
                    end));
  }

  private static List<EventLine> resumed(List<EventLine> requestLines, List<EventLine> sorted) {
    Set<String> attempts = new HashSet<>();
    requestLines.forEach(line -> attempts.add(line.text("resumes")));
    attempts.remove("");
    return sorted.stream().filter(line -> attempts.contains(line.text("request"))).toList();
  }

  private static List<EventLine> knownState(
      List<EventLine> requestLines, EventLine end, List<EventLine> sorted) {
    Set<String> servers = new HashSet<>();
    requestLines.forEach(line -> servers.add(line.text("server")));
    Map<String, EventLine> newest = new LinkedHashMap<>();
    for (EventLine line : sorted) {
      if (line.time().isAfter(end.time()) || !line.instance().equals(end.instance())) {
        continue;
      }
      if (line.event().equals("InstanceState") && line.text("state").equals("starting")) {
        // A new process does not know the state of the process before it.
        newest.clear();
      }
      stateKey(line, end.text("customer"), servers).ifPresent(name -> newest.put(name, line));
    }
    return newest.values().stream().sorted(Comparator.comparing(EventLine::time)).toList();
  }

  /**
   * Returns the key of the state that an event reports, if the request depended on that state; a
   * later event with the same key replaces the earlier one.
   */
  private static Optional<String> stateKey(EventLine line, String customer, Set<String> servers) {
    return switch (line.event()) {
      case "PlanInForce", "InstanceState" -> Optional.of(line.event());
      case "Dependency" -> Optional.of(line.event() + line.text("name"));
      case "AccountLevel" ->
          line.text("customer").equals(customer) ? Optional.of(line.event()) : Optional.empty();
      case "ServerListed" ->
          servers.contains(line.text("server"))
              ? Optional.of(line.event() + line.text("server"))
              : Optional.empty();
      default -> Optional.empty();
    };
  }

  /** Returns the names of the dependencies that were unreachable when the request ended. */
  List<String> unreachableDependencies() {
    Map<String, Boolean> reachable = new HashMap<>();
    for (EventLine state : knownState) {
      if (state.event().equals("Dependency")) {
        reachable.put(state.text("name"), state.fields().path("reachable").asBoolean());
      }
    }
    return reachable.entrySet().stream()
        .filter(entry -> !entry.getValue())
        .map(Map.Entry::getKey)
        .sorted()
        .toList();
  }

  /** Describes the last failed attempt; returns {@code fallback} if no attempt failed. */
  String lastFailure(String fallback) {
    return lines.reversed().stream()
        .filter(line -> line.event().equals("AttemptFailed"))
        .findFirst()
        .map(
            line ->
                "attempt %d at %s failed as %s after %.0f ms (%s)"
                    .formatted(
                        line.number("attempt"),
                        line.text("server"),
                        line.text("failure"),
                        line.fields().path("after_ms").asDouble(),
                        line.text("detail")))
        .orElse(fallback);
  }

  /** Returns a field of the last logged level of the customer's account; 0 if none was logged. */
  long accountNumber(String field) {
    return knownState.stream()
        .filter(state -> state.event().equals("AccountLevel"))
        .mapToLong(state -> state.number(field))
        .findFirst()
        .orElse(0);
  }
}
