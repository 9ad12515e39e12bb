package org.teaseldeal.net;

import java.nio.charset.StandardCharsets;
import java.util.Map;

/** A complete answer; header names are in lower case. */
public record HttpAnswer(int status, Map<String, String> headers, byte[] body) {
  public HttpAnswer {
    headers = Map.copyOf(headers);
  }

  /** Returns the body decoded as UTF-8. */
  public String text() {
    return new String(body, StandardCharsets.UTF_8);
  }
}
