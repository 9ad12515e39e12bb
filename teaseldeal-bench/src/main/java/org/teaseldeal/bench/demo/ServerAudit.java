package org.teaseldeal.bench.demo;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The runs that the engines and the plain service report. */
public final class ServerAudit {
  private static final Set<String> ENDS = Set.of("finished", "cancelled");

  private final Map<String, List<Long>> tokens = new HashMap<>();
  private final Map<String, Integer> runs = new HashMap<>();

  ServerAudit() {}

  /** Reads the reports of the engines and the plain service from their admin addresses. */
  public static ServerAudit read(JsonClient web, List<String> engines, String service)
      throws DemoException, InterruptedException {
    ServerAudit audit = new ServerAudit();
    for (String engine : engines) {
      for (JsonNode line : web.jsonLines(engine, "/history")) {
        audit.addEngineEvent(line);
      }
    }
    web.json(service, "/ran")
        .path("by_request")
        .properties()
        .forEach(entry -> audit.addRuns(entry.getKey(), entry.getValue().asInt()));
    return audit;
  }

  /**
   * Returns the tokens that each run of a model request used. There are several elements if the
   * request ran at several engines.
   */
  public List<Long> tokens(String request) {
    return tokens.getOrDefault(request, List.of());
  }

  /** Returns the number of times that the plain service ran a request. */
  public int runs(String request) {
    return runs.getOrDefault(request, 0);
  }

  /** Returns the plain requests that were run more than once. */
  public Set<String> repeatedRuns() {
    Set<String> twice = new HashSet<>();
    runs.forEach(
        (request, count) -> {
          if (count > 1) {
            twice.add(request);
          }
        });
    return twice;
  }

  /** Returns the total number of tokens used at the engines. */
  public long engineTokens() {
    return tokens.values().stream().flatMap(List::stream).mapToLong(Long::longValue).sum();
  }

  /** Returns the total number of calls that the plain service ran. */
  public long serviceRuns() {
    return runs.values().stream().mapToLong(Integer::longValue).sum();
  }

  private void addEngineEvent(JsonNode line) {
    if (!ENDS.contains(line.path("kind").asText())) {
      return;
    }
    addTokens(
        line.path("request").asText(),
        line.path("prompt_tokens").asLong() + line.path("completion_tokens").asLong());
  }

  /** Records the tokens that an engine used for a request. */
  void addTokens(String request, long count) {
    tokens.computeIfAbsent(request, id -> new ArrayList<>()).add(count);
  }

  /** Records the number of times that the plain service ran a request. */
  void addRuns(String request, int count) {
    runs.put(request, count);
  }
}
