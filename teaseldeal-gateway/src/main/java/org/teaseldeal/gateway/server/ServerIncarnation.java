package org.teaseldeal.gateway.server;

import java.time.Instant;
import java.util.Optional;
import org.teaseldeal.api.BackendServerId;

/**
 * One run of a backend server's process, which may start again under the id that it had.
 *
 * @param startedAt by the server's own clock; empty if it doesn't tell
 */
public record ServerIncarnation(BackendServerId id, Optional<Instant> startedAt) {
  /**
   * Whether this one started after {@code other} of the same id.
   *
   * <p>One that tells its start follows one that doesn't: releases that don't are the older ones,
   * and a process that tells its start tells it from its first line on.
   */
  boolean startedAfter(ServerIncarnation other) {
    if (startedAt.isEmpty()) {
      return false;
    }
    return other.startedAt.isEmpty() || startedAt.get().isAfter(other.startedAt.get());
  }
}
