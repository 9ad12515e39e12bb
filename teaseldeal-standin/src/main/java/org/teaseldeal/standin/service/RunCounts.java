package org.teaseldeal.standin.service;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Counts the runs of each request and of each idempotency key. A count above 1 shows a duplicate
 * run.
 */
final class RunCounts {
  private static final int MAX_ENTRIES = 200_000;

  private final Map<String, Integer> byRequest = boundedMap();
  private final Map<String, Integer> byKey = boundedMap();

  /** Counts a run and returns the number of runs of this request so far. */
  int count(String requestId, String key) {
    if (!key.isEmpty()) {
      byKey.merge(key, 1, Integer::sum);
    }
    return byRequest.merge(requestId, 1, Integer::sum);
  }

  void describe(ObjectNode answer) {
    ObjectNode requests = answer.putObject("by_request");
    byRequest.forEach(requests::put);
    ObjectNode keys = answer.putObject("by_key");
    byKey.forEach(keys::put);
  }

  private static Map<String, Integer> boundedMap() {
    return new LinkedHashMap<>() {
      private static final long serialVersionUID = 1L;

      @Override
      protected boolean removeEldestEntry(Map.Entry<String, Integer> eldest) {
        return size() > MAX_ENTRIES;
      }
    };
  }
}
