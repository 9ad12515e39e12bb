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

  private final String instance;
  private final ServerStatements.Reader reader;
  private final ServerLimits limits;
  private final EventSink events;
  private final Set<ServerIncarnation> reportedLeaving = new HashSet<>();
  private final Set<String> reportedUnreadable = new HashSet<>();

  /** Creates the handler of an instance. */
  public ServerStatementHandler(
      String instance, ServerStatements.Reader reader, ServerLimits limits, EventSink events) {
    this.instance = instance;
    this.reader = reader;
    this.limits = limits;
    this.events = events;
  }

  /**
   * Processes the head of an answer to a request.
   *
   * @param sentAt when the request was sent; answers may overtake each other
   */
  ServerStatements onAnswer(
      BackendServer server, int status, Map<String, String> headers, Instant sentAt) {
    ServerStatements statements = onProbeAnswer(server, status, headers);
    // Rejections and errors may come from a part of the server that knows of no limit.
    boolean saysNoLimit = statements.authoritative() && status == OK;
    if (saysNoLimit || !(statements.rate() instanceof RateAnnouncement.Absent)) {
      limits.announced().onAnswer(server, statements.rate(), sentAt);
    }
    return statements;
  }

  /** Processes the head of an answer to a probe, which need not name the server's limits. */
  ServerStatements onProbeAnswer(BackendServer server, int status, Map<String, String> headers) {
    ServerStatements statements = reader.read(server, status, headers);
    String process = server.incarnation().name();
    if (statements.leaving() && reportedLeaving.add(server.incarnation())) {
      events.accept(new GatewayEvent.ServerLeaveAnnounced(process, instance));
    }
    statements
        .pause()
        .ifPresent(pause -> events.accept(new GatewayEvent.ServerPause(process, status, pause)));
    for (ServerStatements.Unreadable unreadable : statements.unreadable()) {
      if (reportedUnreadable.add(process + unreadable.name())) {
        events.accept(
            new GatewayEvent.ServerStatementUnreadable(
                process, unreadable.name(), unreadable.value()));
      }
    }
    return statements;
  }

  /** Forgets the servers that are no longer listed. */
  void retain(Set<ServerIncarnation> listed) {
    reportedLeaving.retainAll(listed);
    reportedUnreadable.removeIf(
        each -> listed.stream().noneMatch(server -> each.startsWith(server.name())));
  }
}
