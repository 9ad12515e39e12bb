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
import org.teaseldeal.ledger.Streams;
import org.teaseldeal.net.HttpClient;
import org.teaseldeal.settings.SubtreeId;

/** One session for each of the ledger's streams, all for one writer. */
public final class LedgerSessions {
  private final Streams streams;
  private final List<LedgerSession> sessions;

  private LedgerSessions(Streams streams, List<LedgerSession> sessions) {
    this.streams = streams;
    this.sessions = List.copyOf(sessions);
  }

  /**
   * Sessions with the log at {@code address}, for a writer of its own.
   *
   * <p>The writer's id is drawn anew for each run: a second process under the same id would have
   * its records dropped as repeats.
   */
  public static LedgerSessions open(
      HttpClient client,
      String address,
      Streams streams,
      Duration timeout,
      InstantSource clock,
      RandomGenerator random) {
    IncarnationId self = newWriterId(random);
    List<LedgerSession> sessions = new ArrayList<>();
    for (int i = 0; i < streams.count(); i++) {
      sessions.add(
          new LedgerSession(
              self, new StreamId(i), new HttpLogClient(client, address), timeout, clock));
    }
    return new LedgerSessions(streams, sessions);
  }

  /** The session of the stream that {@code subtree} stands on. */
  public LedgerSession session(SubtreeId subtree) {
    return sessions.get(streams.of(subtree).index());
  }

  /** The session of the stream that {@code team} stands on. */
  public LedgerSession session(TeamId team) {
    return sessions.get(streams.of(team).index());
  }

  /** All sessions, in the streams' order. */
  public List<LedgerSession> all() {
    return sessions;
  }

  private static IncarnationId newWriterId(RandomGenerator random) {
    HexFormat hex = HexFormat.of();
    return new IncarnationId(
        "operator-" + hex.toHexDigits(random.nextLong()) + hex.toHexDigits(random.nextLong()));
  }
}
