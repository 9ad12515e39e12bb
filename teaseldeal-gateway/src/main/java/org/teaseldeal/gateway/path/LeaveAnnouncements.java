package org.teaseldeal.gateway.path;

import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.teaseldeal.gateway.event.EventSink;
import org.teaseldeal.gateway.event.GatewayEvent;
import org.teaseldeal.gateway.log.SharedNote;
import org.teaseldeal.gateway.server.BackendServer;
import org.teaseldeal.gateway.server.ServerDirectory;
import org.teaseldeal.gateway.server.ServerIncarnation;

/**
 * Takes backend servers that say in an answer that they leave out of use, whatever the list of
 * servers says, and tells the other instances.
 *
 * <p>The list says so as well, as soon as the server can write to it. So nothing is noted on the
 * shared log, which is reachable at the same times as the list.
 */
public final class LeaveAnnouncements {
  private static final Logger LOG = LoggerFactory.getLogger(LeaveAnnouncements.class);

  private final String instance;
  private final ServerDirectory servers;
  private final Consumer<SharedNote> broadcast;
  private final EventSink events;

  /**
   * Creates the announcements that an instance hears.
   *
   * @param broadcast sends a note to all other instances; it may be lost
   */
  public LeaveAnnouncements(
      String instance, ServerDirectory servers, Consumer<SharedNote> broadcast, EventSink events) {
    this.instance = instance;
    this.servers = servers;
    this.broadcast = broadcast;
    this.events = events;
  }

  /** Processes an answer of a server that says that it leaves. */
  void onAnswer(BackendServer server) {
    String process = server.incarnation().name();
    if (take(server.incarnation(), instance)) {
      broadcast.accept(new SharedNote.ServerLeave(instance, process));
    }
  }

  /** Processes a note of another instance that arrived as a message. */
  public void onMessage(SharedNote note) {
    if (note instanceof SharedNote.ServerLeave leave && !leave.instance().equals(instance)) {
      ServerIncarnation.parse(leave.server())
          .ifPresentOrElse(
              server -> take(server, leave.instance()),
              () -> LOG.warn("dropped a leave of '{}', which names no server", leave.server()));
    }
  }

  private boolean take(ServerIncarnation server, String source) {
    boolean changed = servers.announceLeave(server);
    if (changed) {
      events.accept(new GatewayEvent.ServerLeaveAnnounced(server.name(), source));
    }
    return changed;
  }
}
