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
 * What the logs tell of one request, and of what its instance believed when it ended.
 *
 * @param lines of the request, in order of time
 * @param knownState the newest line of each kind at the instance that ended it, before its end
 * @param end how it ended
 */
record RequestHistory(List<EventLine> lines, List<EventLine> knownState, EventLine end) {
  private static final String ENDED = "RequestEnded";

  /** Finds the story of {@code request}; empty if no line says how it ended. */
  static Optional<RequestHistory> find(String request, List<EventLine> all) {
    List<EventLine> sorted = new ArrayList<>(all);
    sorted.sort(Comparator.comparing(EventLine::time));
    List<EventLine> own =
        sorted.stream().filter(line -> line.text("request").equals(request)).toList();
    return own.stream()
        .filter(line -> line.event().equals(ENDED))
        .findFirst()
        .map(end -> new RequestHistory(own, knownState(own, end, sorted), end));
  }

  private static List<EventLine> knownState(
      List<EventLine> own, EventLine end, List<EventLine> sorted) {
    Set<String> servers = new HashSet<>();
    own.forEach(line -> servers.add(line.text("server")));
    Map<String, EventLine> newest = new LinkedHashMap<>();
    for (EventLine line : sorted) {
      if (line.time().isAfter(end.time()) || !line.instance().equals(end.instance())) {
        continue;
      }
      if (line.event().equals("InstanceState") && line.text("state").equals("starting")) {
        // What an earlier process believed, this one didn't know.
        newest.clear();
      }
      stateKey(line, end.text("customer"), servers).ifPresent(name -> newest.put(name, line));
    }
    return newest.values().stream().sorted(Comparator.comparing(EventLine::time)).toList();
  }

  /** What a line is about, if the request rested on it; a later line on the same replaces it. */
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

  /** The dependencies that were lost when the request ended. */
  List<String> unreachableDependencies() {
    Map<String, Boolean> reachable = new HashMap<>();
    for (EventLine belief : knownState) {
      if (belief.event().equals("Dependency")) {
        reachable.put(belief.text("name"), belief.fields().path("reachable").asBoolean());
      }
    }
    return reachable.entrySet().stream()
        .filter(entry -> !entry.getValue())
        .map(Map.Entry::getKey)
        .sorted()
        .toList();
  }

  /** What happened to the last attempt that failed, or {@code otherwise}. */
  String lastFailure(String otherwise) {
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
        .orElse(otherwise);
  }

  /** A number of the customer's account as the instance last logged it; 0 if it didn't. */
  long accountNumber(String field) {
    return knownState.stream()
        .filter(belief -> belief.event().equals("AccountLevel"))
        .mapToLong(belief -> belief.number(field))
        .findFirst()
        .orElse(0);
  }
}
