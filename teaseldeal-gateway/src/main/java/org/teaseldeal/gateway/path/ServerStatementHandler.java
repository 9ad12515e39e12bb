package org.teaseldeal.gateway.path;

import java.time.Instant;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.teaseldeal.gateway.event.EventSink;
import org.teaseldeal.gateway.event.GatewayEvent;
import org.teaseldeal.gateway.server.BackendServer;
import org.teaseldeal.gateway.server.RateAnnouncement;
import org.teaseldeal.gateway.server.ServerIncarnation;
import org.teaseldeal.gateway.server.ServerStatements;

/** Acts on what backend servers say about themselves in their answers. */
public final class ServerStatementHandler {
  private static final int OK = 200;

  /** A statement of a server process that can't be read. */
  private record UnreadableStatement(ServerIncarnation server, String name) {}

  private final ServerStatements.Reader reader;
  private final ServerLimits limits;
  private final LeaveAnnouncements leaves;
  private final EventSink events;
  private final Set<UnreadableStatement> reportedUnreadable = new HashSet<>();

  /** Creates the handler of an instance. */
  public ServerStatementHandler(
      ServerStatements.Reader reader,
      ServerLimits limits,
      LeaveAnnouncements leaves,
      EventSink events) {
    this.reader = reader;
    this.limits = limits;
    this.leaves = leaves;
    this.events = events;
  }

  /**
   * Processes the head of an answer to a request.
   *
   * @param sentAt when the request was sent; answers may overtake each other
   */
  ServerStatements onAnswer(
      BackendServer server, int status, Map<String, String> headers, Instant sentAt) {
    ServerStatements statements = applyCommonStatements(server, status, headers);
    boolean served = statements.authoritative() && status == OK;
    // Rejections and errors may come from a part of the server that knows of no limit.
    if (served || !(statements.rate() instanceof RateAnnouncement.Absent)) {
      limits.announced().onAnswer(server, statements.rate(), sentAt);
    }
    if (served) {
      limits.pauses().onTaken(server, sentAt);
    }
    return statements;
  }

  /**
   * Processes the head of an answer to a probe, which shows neither that the server has no limit
   * nor that it takes requests again.
   */
  void onProbeAnswer(BackendServer server, int status, Map<String, String> headers) {
    applyCommonStatements(server, status, headers);
  }

  /** Reads an answer and acts on what holds whatever was asked. */
  private ServerStatements applyCommonStatements(
      BackendServer server, int status, Map<String, String> headers) {
    ServerStatements statements = reader.read(server, status, headers);
    if (statements.leaving()) {
      leaves.onAnswer(server);
    }
    statements
        .pause()
        .ifPresent(
            pause -> {
              limits.pauses().onRequested(server, pause);
              events.accept(
                  new GatewayEvent.ServerPause(server.incarnation().name(), status, pause));
            });
    statements.unreadable().forEach(each -> report(server, each));
    return statements;
  }

  private void report(BackendServer server, ServerStatements.Unreadable statement) {
    if (reportedUnreadable.add(new UnreadableStatement(server.incarnation(), statement.name()))) {
      events.accept(
          new GatewayEvent.ServerStatementUnreadable(
              server.incarnation().name(), statement.name(), statement.value()));
    }
  }

  /** Forgets the servers that are no longer listed. */
  void retain(Set<ServerIncarnation> listed) {
    reportedUnreadable.removeIf(each -> !listed.contains(each.server()));
  }
}
