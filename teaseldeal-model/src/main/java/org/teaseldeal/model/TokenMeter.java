package org.teaseldeal.model;

import java.util.Map;
import java.util.TreeMap;

/** Counts the tokens that the engines have used for each customer's requests. */
final class TokenMeter {
  private final Map<String, Long> usedTokens = new TreeMap<>();

  void usedTokens(String customer, long tokens) {
    usedTokens.merge(customer, tokens, Long::sum);
  }

  long tokensOf(String customer) {
    return usedTokens.getOrDefault(customer, 0L);
  }
}
