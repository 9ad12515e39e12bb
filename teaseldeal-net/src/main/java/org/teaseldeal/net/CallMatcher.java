package org.teaseldeal.net;

import java.util.Locale;
import java.util.Map;

/**
 * Matches answers with a call that they name in a header.
 *
 * @param header the header in which answers name the call, in any case; empty if they don't
 * @param callName the name of the call
 */
public record CallMatcher(String header, String callName) {
  /** Trusts the server to answer each call once. */
  static final CallMatcher BY_PLACE = new CallMatcher("", "");

  public CallMatcher {
    header = header.toLowerCase(Locale.ROOT);
  }

  /**
   * Returns how an answer with these headers, whose names are in lower case, relates to the call.
   */
  public AnswerMatch match(Map<String, String> headers) {
    return header.isEmpty() ? AnswerMatch.BY_PLACE : AnswerMatch.of(headers.get(header), callName);
  }
}
