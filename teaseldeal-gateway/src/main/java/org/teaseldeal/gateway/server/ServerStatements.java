package org.teaseldeal.gateway.server;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import org.teaseldeal.api.Preconditions;

/**
 * What the head of an answer says about the backend server that sent it.
 *
 * @param authoritative whether the answer is the server's own, so that what it doesn't say holds as
 *     well
 * @param rate the requests in a second that the server takes from all instances together
 * @param maxRejections the rejections in a second from which on the server fails; empty if it
 *     announces none
 * @param leaving whether the server leaves
 * @param pause how long the server, which rejected the request, wants no further ones from this
 *     instance; empty if it doesn't ask for a pause
 * @param unreadable the statements that can't be read and so change nothing
 */
public record ServerStatements(
    boolean authoritative,
    RateAnnouncement rate,
    OptionalInt maxRejections,
    boolean leaving,
    Optional<Duration> pause,
    List<Unreadable> unreadable) {
  /** What is known from an answer that may be another server's. */
  public static final ServerStatements NONE =
      new ServerStatements(
          false,
          new RateAnnouncement.Absent(),
          OptionalInt.empty(),
          false,
          Optional.empty(),
          List.of());

  /** A statement whose value can't be read. */
  public record Unreadable(String name, String value) {}

  /** Decodes the statements in the head of an answer. */
  @FunctionalInterface
  public interface Reader {
    /**
     * Returns what an answer to a request to {@code server} says about that server; {@link #NONE}
     * if the answer may be another server's.
     */
    ServerStatements read(BackendServer server, int status, Map<String, String> headers);
  }

  public ServerStatements {
    Preconditions.require(
        pause.isEmpty() || pause.get().isPositive(),
        "pause was %s, expected more than 0".formatted(pause));
    unreadable = List.copyOf(unreadable);
  }
}
