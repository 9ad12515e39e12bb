package org.teaseldeal.standin.runtime;

import java.util.HashMap;
import java.util.Map;
import org.teaseldeal.net.HttpExchange;

/** Names in answers the attempt that the request named. */
public final class AttemptNames {
  private static final String ATTEMPT_ID = "Attempt-Id";

  private AttemptNames() {}

  /** Returns the headers of an answer, which repeat the attempt that its request names, if any. */
  public static Map<String, String> headers(HttpExchange exchange, Map<String, String> others) {
    Map<String, String> headers = new HashMap<>(others);
    exchange.header(ATTEMPT_ID).ifPresent(attempt -> headers.put(ATTEMPT_ID, attempt));
    return headers;
  }
}
