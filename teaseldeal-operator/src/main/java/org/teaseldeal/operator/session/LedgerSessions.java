package org.teaseldeal.operator.session;

import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.random.RandomGenerator;
import org.teaseldeal.api.IncarnationId;
import org.teaseldeal.api.TeamId;
import org.teaseldeal.ledger.StreamId;
import org.teaseldeal.ledger.StreamPartitioning;
import org.teaseldeal.net.HttpClient;
import org.teaseldeal.settings.SubtreeId;

/** One session for each of the ledger's streams; all sessions share one writer id. */
public final class LedgerSessions {
  private final StreamPartitioning partitioning;
  private final List<LedgerSession> sessions;

  private LedgerSessions(StreamPartitioning partitioning, List<LedgerSession> sessions) {
    this.partitioning = partitioning;
    this.sessions = List.copyOf(sessions);
  }

  /**
   * Opens sessions with the log at {@code address}.
   *
   * <p>The writer id is random for each run of the program. If a second process used the same id,
   * readers of the log would drop its records as duplicates.
   */
  public static LedgerSessions open(
      HttpClient client,
      String address,
      StreamPartitioning partitioning,
      Duration timeout,
      InstantSource clock,
      RandomGenerator random) {
    IncarnationId writer = newWriterId(random);
    List<LedgerSession> sessions = new ArrayList<>();
    for (int i = 0; i < partitioning.count(); i++) {
      sessions.add(
          new LedgerSession(
              writer, new StreamId(i), new HttpLogClient(client, address), timeout, clock));
    }
    return new LedgerSessions(partitioning, sessions);
  }

  /** Returns the session of the stream that holds {@code subtree}. */
  public LedgerSession session(SubtreeId subtree) {
    return sessions.get(partitioning.of(subtree).index());
  }

  /** Returns the session of the stream that holds {@code team}. */
  public LedgerSession session(TeamId team) {
    return sessions.get(partitioning.of(team).index());
  }

  /** Returns all sessions, in the order of the streams. */
  public List<LedgerSession> all() {
    return sessions;
  }

  private static IncarnationId newWriterId(RandomGenerator random) {
    HexFormat hex = HexFormat.of();
    return new IncarnationId(
        "operator-" + hex.toHexDigits(random.nextLong()) + hex.toHexDigits(random.nextLong()));
  }
}
