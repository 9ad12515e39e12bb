package org.teaseldeal.core.system;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.TreeMap;
import java.util.TreeSet;
import org.teaseldeal.api.BackendServerId;
import org.teaseldeal.api.IncarnationId;
import org.teaseldeal.core.Counter;
import org.teaseldeal.core.ListedInstance;
import org.teaseldeal.core.ListedServer;
import org.teaseldeal.core.event.InstanceEvent;
import org.teaseldeal.core.part.LeavingServerRule;
import org.teaseldeal.core.table.PeerRow;
import org.teaseldeal.core.table.ServerRow;
import org.teaseldeal.core.table.Tables;
import org.teaseldeal.wire.gen.peer.Heartbeat;
import org.teaseldeal.wire.gen.peer.Message;
import org.teaseldeal.wire.gen.peer.ServerShare;
import org.teaseldeal.wire.gen.peer.ServersLeaving;

/**
 * Maintains the tables of backend servers and peers, and sends heartbeats to peers.
 *
 * <p>A server that is leaving counts as leaving permanently. The platform's list lags, and a stale
 * copy of it would otherwise make the server eligible again. Peers relay what they learn about
 * leaving servers, so that no new work is sent to such a server after a few seconds, even where the
 * list is late.
 */
final class MembershipSystem {
  private static final Duration PEER_RETENTION = Duration.ofHours(1);

  private final Context context;
  private final LedgerSystem ledger;
  private final QuarantineSystem quarantine;
  private final LeavingServerRule leavingServerRule;
  private Instant heartbeatSentAt = Instant.MIN;

  MembershipSystem(
      Context context,
      LedgerSystem ledger,
      QuarantineSystem quarantine,
      LeavingServerRule leavingServerRule) {
    this.context = context;
    this.ledger = ledger;
    this.quarantine = quarantine;
    this.leavingServerRule = leavingServerRule;
  }

  void onList(InstanceEvent.PlatformListRead list) {
    Tables tables = context.tables;
    tables.servers.values().forEach(server -> server.listed = false);
    List<BackendServerId> leaving = new ArrayList<>();
    for (ListedServer listed : list.servers()) {
      serverRow(listed).listed = true;
      if (listed.leaving()) {
        leaving.add(listed.id());
      }
    }
    tables.servers.values().stream()
        .filter(server -> !server.listed)
        .forEach(server -> quarantine.onServerDown(server.id));
    tables.servers.values().removeIf(server -> !server.listed && server.outstandingHere == 0);
    tables.listedInstances.clear();
    list.instances().stream()
        .filter(listed -> !listed.peerAddress().equals(context.config.peerAddress()))
        .forEach(listed -> tables.listedInstances.put(listed.peerAddress(), listed));
    leavingServerRule.onList(context.tables.leavingServers, new TreeSet<>(leaving));
    addLeavingServers(leaving);
  }

  private ServerRow serverRow(ListedServer listed) {
    return context.tables.servers.computeIfAbsent(
        listed.id(),
        id ->
            new ServerRow(
                id,
                listed.pool(),
                listed.address(),
                listed.dataCentre().equals(context.config.dataCentre())));
  }

  private void addLeavingServers(List<BackendServerId> leaving) {
    List<String> newlyLeaving = new ArrayList<>();
    for (BackendServerId server : leaving) {
      if (context.tables.leavingServers.add(server)) {
        newlyLeaving.add(server.name());
      }
    }
    if (newlyLeaving.isEmpty()) {
      return;
    }
    for (PeerRow peer : context.tables.peers.values()) {
      if (!peer.address.isEmpty()) {
        context.send(peer.address, Message.serversLeaving(new ServersLeaving(newlyLeaving)));
      }
    }
  }

  void onServersLeaving(ServersLeaving message) {
    addLeavingServers(message.getServers().stream().map(BackendServerId::new).toList());
  }

  void onLoad(InstanceEvent.LoadReported report) {
    ServerRow server = context.tables.servers.get(report.server());
    if (server != null) {
      server.reportedRunning = report.running();
      server.reportedWaiting = report.waiting();
    }
  }

  void onHeartbeat(IncarnationId sender, Heartbeat heartbeat) {
    if (sender.equals(context.self())) {
      return;
    }
    context.count(Counter.HEARTBEATS_RECEIVED);
    PeerRow peer = context.tables.peers.computeIfAbsent(sender, s -> new PeerRow(s, context.now()));
    peer.lastHeartbeatAt = context.now();
    peer.instance = Objects.requireNonNullElse(heartbeat.getInstance(), "");
    peer.address = Objects.requireNonNullElse(heartbeat.getAddress(), "");
    peer.dataCentre = Objects.requireNonNullElse(heartbeat.getDataCentre(), "");
    peer.draining = heartbeat.isDraining();
    peer.ready = heartbeat.isReady();
    if (heartbeat.isSetPositions()) {
      heartbeat.getPositions().stream()
          .filter(position -> position.getStream() == 0)
          .forEach(position -> peer.fleetStreamOffset = position.getFoldedTo());
    }
    if (heartbeat.isSetShares()) {
      peer.outstandingByServer = outstandingByServer(heartbeat.getShares());
    }
    if (heartbeat.isSetLeavingServers()) {
      addLeavingServers(heartbeat.getLeavingServers().stream().map(BackendServerId::new).toList());
    }
    updateOutstandingAtPeers();
  }

  private static TreeMap<BackendServerId, Integer> outstandingByServer(List<ServerShare> shares) {
    TreeMap<BackendServerId, Integer> outstanding = new TreeMap<>();
    for (ServerShare share : shares) {
      outstanding.put(new BackendServerId(share.getServer()), Math.max(share.getOutstanding(), 0));
    }
    return outstanding;
  }

  /**
   * Sums up the requests that peers have in flight at each server. A peer that has become silent no
   * longer counts, because its requests end with it.
   */
  private void updateOutstandingAtPeers() {
    Instant oldestHeartbeat = context.now().minus(context.limits().peerSilenceTimeout());
    context.tables.servers.values().forEach(server -> server.outstandingAtPeers = 0);
    for (PeerRow peer : context.tables.peers.values()) {
      if (peer.lastHeartbeatAt.isBefore(oldestHeartbeat)) {
        continue;
      }
      peer.outstandingByServer.forEach(
          (id, outstanding) -> {
            ServerRow server = context.tables.servers.get(id);
            if (server != null) {
              server.outstandingAtPeers += outstanding;
            }
          });
    }
  }

  /**
   * Sends heartbeats to all listed instances, and to unlisted peers from which heartbeats still
   * arrive.
   */
  void run() {
    Instant now = context.now();
    boolean due =
        heartbeatSentAt.equals(Instant.MIN)
            || !now.isBefore(heartbeatSentAt.plus(context.limits().heartbeatInterval()));
    if (!due) {
      return;
    }
    heartbeatSentAt = now;
    evictPeers(now);
    updateOutstandingAtPeers();
    context
        .tables
        .servers
        .values()
        .forEach(server -> server.outstandingHereAtLastHeartbeat = server.outstandingHere);
    Message heartbeat = Message.heartbeat(heartbeat());
    for (ListedInstance listed : context.tables.listedInstances.values()) {
      context.count(Counter.HEARTBEATS_SENT);
      context.send(listed.peerAddress(), heartbeat);
    }
    for (PeerRow peer : context.tables.peers.values()) {
      boolean unlisted = !context.tables.listedInstances.containsKey(peer.address);
      Instant oldestHeartbeat = now.minus(context.limits().peerSilenceTimeout());
      if (unlisted && !peer.address.isEmpty() && !peer.lastHeartbeatAt.isBefore(oldestHeartbeat)) {
        context.count(Counter.HEARTBEATS_SENT);
        context.send(peer.address, heartbeat);
      }
    }
  }

  /**
   * Removes peers without a recent heartbeat. The row of a peer with unacknowledged transfers
   * stays, so that a repeated request is answered in the same way.
   */
  private void evictPeers(Instant now) {
    Instant oldestHeartbeat = now.minus(PEER_RETENTION);
    context
        .tables
        .peers
        .values()
        .removeIf(
            p ->
                p.unacknowledgedTransfers.isEmpty() && p.lastHeartbeatAt.isBefore(oldestHeartbeat));
  }

  private Heartbeat heartbeat() {
    List<ServerShare> shares =
        context.tables.servers.values().stream()
            .filter(server -> server.outstandingHere > 0)
            .map(server -> new ServerShare(server.id.name(), server.outstandingHere, 0))
            .toList();
    List<String> leaving =
        context.tables.leavingServers.stream()
            .filter(id -> context.tables.servers.containsKey(id))
            .map(BackendServerId::name)
            .toList();
    return new Heartbeat(
        context.config.instance().name(),
        context.config.dataCentre().name(),
        context.config.peerAddress(),
        context.draining,
        ledger.ready() && !context.draining,
        ledger.positions(),
        shares,
        leaving,
        ledger.settingsRevision());
  }
}
