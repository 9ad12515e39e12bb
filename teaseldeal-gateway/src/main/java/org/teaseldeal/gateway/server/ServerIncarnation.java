package org.teaseldeal.gateway.server;

import java.time.Instant;
import java.util.Optional;
import org.teaseldeal.api.BackendServerId;

/**
 * One process of a backend server. The server may restart under the same id as another incarnation.
 *
 * @param startedAt the process's start time by the server's own clock; empty if the server doesn't
 *     publish it
 */
public record ServerIncarnation(BackendServerId id, Optional<Instant> startedAt) {
  /** Separates the id of a server from its start time in {@link #name}. */
  public static final char NAME_SEPARATOR = '@';

  /** Returns a name that no other process of the server has if they publish their start times. */
  public String name() {
    return startedAt
        .map(start -> id.name() + NAME_SEPARATOR + start.toEpochMilli())
        .orElse(id.name());
  }

  /** Returns the process with a {@link #name}; empty if no process has it. */
  public static Optional<ServerIncarnation> parse(String name) {
    int separator = name.lastIndexOf(NAME_SEPARATOR);
    String id = separator < 0 ? name : name.substring(0, separator);
    try {
      Optional<Instant> start =
          separator < 0
              ? Optional.empty()
              : Optional.of(Instant.ofEpochMilli(Long.parseLong(name.substring(separator + 1))));
      return Optional.of(new ServerIncarnation(new BackendServerId(id), start));
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  /**
   * Whether this incarnation started after {@code other}, which has the same id.
   *
   * <p>An incarnation with a start time counts as later than one without: only older releases
   * publish no start time, and a process that publishes its start time does so from its first
   * listing on.
   */
  boolean startedAfter(ServerIncarnation other) {
    if (startedAt.isEmpty()) {
      return false;
    }
    return other.startedAt.isEmpty() || startedAt.get().isAfter(other.startedAt.get());
  }
}
