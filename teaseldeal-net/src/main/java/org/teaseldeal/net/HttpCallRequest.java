package org.teaseldeal.net;

import java.time.Duration;
import java.util.Map;

/**
 * A request to send.
 *
 * @param address {@code host:port}, the host as an IP address
 * @param headers the headers to send; a {@code host} among them replaces the one derived from the
 *     address
 * @param timeout the time within which the head of the answer has to arrive; the listener has to
 *     enforce time limits for the body itself
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

  /** Returns this request with another timeout. */
  public HttpCallRequest withTimeout(Duration newTimeout) {
    return new HttpCallRequest(address, method, path, headers, body, newTimeout);
  }
}
