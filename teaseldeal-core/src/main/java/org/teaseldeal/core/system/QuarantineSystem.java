package org.teaseldeal.core.system;

import java.time.Instant;
import java.util.List;
import java.util.function.Predicate;
import org.teaseldeal.api.BackendServerId;
import org.teaseldeal.core.Counter;
import org.teaseldeal.core.table.PeerRow;
import org.teaseldeal.core.table.SuspectRow;
import org.teaseldeal.core.table.Tables;
import org.teaseldeal.wire.gen.peer.Message;
import org.teaseldeal.wire.gen.peer.Quarantine;

/**
 * Refuses requests that crash the servers on which they run.
 *
 * <p>A lost connection alone is weak evidence and counts only once the server is found to be down.
 * Two servers that went down while the same request was in flight on them are enough evidence. The
 * caller usually repeats the request, and without a quarantine a third server would crash too.
 * Peers are notified of each such server, since the caller's next try may reach another instance.
 */
final class QuarantineSystem {
  private final Context context;
  private final Predicate<SuspectRow> quarantineRule;

  QuarantineSystem(Context context, Predicate<SuspectRow> quarantineRule) {
    this.context = context;
    this.quarantineRule = quarantineRule;
  }

  boolean isQuarantined(String fingerprint) {
    SuspectRow row = context.tables.suspects.get(fingerprint);
    return row != null && quarantineRule.test(row) && context.now().isBefore(row.expiresAt);
  }

  /** Records that the connection to a server was lost while a request was in flight on it. */
  void onConnectionLost(String fingerprint, BackendServerId server) {
    row(fingerprint).connectionLostOn.add(server);
  }

  /** Handles a server that could not be reached or is no longer listed. */
  void onServerDown(BackendServerId server) {
    for (SuspectRow row : context.tables.suspects.values()) {
      if (row.connectionLostOn.remove(server) && row.downServers.add(server)) {
        row.expiresAt = context.now().plus(context.limits().quarantineDuration());
        notifyPeers(row);
        countIfQuarantined(row);
      }
    }
  }

  void onPeerReport(Quarantine report) {
    SuspectRow row = row(report.getFingerprint());
    if (!report.isSetServers()) {
      return;
    }
    boolean added = false;
    for (String server : report.getServers()) {
      BackendServerId id = new BackendServerId(server);
      row.connectionLostOn.remove(id);
      added |= row.downServers.add(id);
    }
    if (added) {
      countIfQuarantined(row);
    }
  }

  /** Removes the rows whose quarantine has expired. */
  void run() {
    Instant now = context.now();
    context.tables.suspects.values().removeIf(row -> !now.isBefore(row.expiresAt));
  }

  private void countIfQuarantined(SuspectRow row) {
    if (quarantineRule.test(row)) {
      context.count(Counter.QUARANTINES);
    }
  }

  private SuspectRow row(String fingerprint) {
    Tables tables = context.tables;
    Instant expiresAt = context.now().plus(context.limits().quarantineDuration());
    return tables.suspects.computeIfAbsent(fingerprint, f -> new SuspectRow(f, expiresAt));
  }

  private void notifyPeers(SuspectRow row) {
    List<String> servers = row.downServers.stream().map(BackendServerId::name).toList();
    Quarantine report =
        new Quarantine(row.fingerprint, servers.size(), row.expiresAt.toEpochMilli(), servers);
    for (PeerRow peer : context.tables.peers.values()) {
      if (!peer.address.isEmpty()) {
        context.send(peer.address, Message.quarantine(report));
      }
    }
  }
}
