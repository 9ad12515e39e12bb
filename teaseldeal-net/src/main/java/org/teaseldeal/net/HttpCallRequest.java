package org.teaseldeal.net;

import java.time.Duration;
import java.util.Map;

/**
 * A request to send.
 *
 * @param address {@code host:port} by IP number
 * @param headers a {@code host} among them is sent in place of the address
 * @param timeout until the answer's head; the body's pace is the listener's to watch
 */
public record HttpCallRequest(
    String address,
    String method,
    String path,
    Map<String, String> headers,
    byte[] body,
    Duration timeout) {
  public HttpCallRequest {
    headers = Map.copyOf(headers);
  }
}
