package org.teaseldeal.model;

import java.util.Map;
import java.util.TreeMap;

/** Counts the tokens that engines have spent on each customer's requests. */
final class TokenMeter {
  private final Map<String, Long> used = new TreeMap<>();

  void used(String customer, long tokens) {
    used.merge(customer, tokens, Long::sum);
  }

  long of(String customer) {
    return used.getOrDefault(customer, 0L);
  }
}
