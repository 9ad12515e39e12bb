package org.teaseldeal.gateway.server;

import org.teaseldeal.api.Preconditions;

/** What a backend server's answer says about the requests that the server takes. */
public sealed interface RateAnnouncement {
  /** The answer names no limit. */
  record Absent() implements RateAnnouncement {}

  /**
   * The server takes a limited number of requests.
   *
   * @param requestsPerSecond the requests in a second of all instances together; 0 if none
   */
  record Limited(double requestsPerSecond) implements RateAnnouncement {
    public Limited {
      Preconditions.require(
          requestsPerSecond >= 0 && Double.isFinite(requestsPerSecond),
          "requests per second were %s, expected a number of at least 0"
              .formatted(requestsPerSecond));
    }
  }

  /** The answer names a limit that can't be read; what was known before still holds. */
  record Unreadable(String value) implements RateAnnouncement {}
}
