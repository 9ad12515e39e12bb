package org.teaseldeal.core.system;

import java.time.Duration;
import java.time.Instant;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import org.teaseldeal.api.IncarnationId;
import org.teaseldeal.api.TeamId;
import org.teaseldeal.core.Counter;
import org.teaseldeal.core.table.BackupRow;
import org.teaseldeal.core.table.ChargeRow;
import org.teaseldeal.core.table.PeerRow;
import org.teaseldeal.ledger.ChargeId;
import org.teaseldeal.ledger.codec.EntryCodec;
import org.teaseldeal.ledger.entry.Entry;
import org.teaseldeal.wire.gen.peer.ChargeBackup;
import org.teaseldeal.wire.gen.peer.ChargeBackupAck;
import org.teaseldeal.wire.gen.peer.Message;

/**
 * Sends this instance's charges to peers for storage, and stores the charges of peers.
 *
 * <p>A charge that only its origin stores would be lost with the origin, although the caller
 * already has the answer. The peer that stores the charge appends it under the same id once the
 * origin is silent. If the origin was only cut off and appends the charge too, it counts once.
 */
final class BackupSystem {
  private static final int MAX_DOUBLINGS = 5;

  /** The largest number of charges in one message, which keeps messages small after an outage. */
  private static final int MAX_CHARGES_PER_MESSAGE = 500;

  private static final Duration CHECK_INTERVAL = Duration.ofMillis(100);

  private final Context context;
  private final LedgerSystem ledger;
  private final SettlementSystem settlement;
  private final PeerView peers;
  private final TreeMap<Long, List<ChargeRow>> outstandingOffers = new TreeMap<>();
  private long lastOffer;
  private int peerTurn;
  private Instant checkedAt = Instant.MIN;

  BackupSystem(Context context, LedgerSystem ledger, SettlementSystem settlement, PeerView peers) {
    this.context = context;
    this.ledger = ledger;
    this.settlement = settlement;
    this.peers = peers;
    this.lastOffer = context.randomStartNumber();
  }

  /** Offers new charges to a peer, and checks the charges stored for peers. */
  void run() {
    offer(
        context.tables.unofferedCharges.values().stream().limit(MAX_CHARGES_PER_MESSAGE).toList());
    Instant now = context.now();
    if (checkedAt.equals(Instant.MIN) || !now.isBefore(checkedAt.plus(CHECK_INTERVAL))) {
      checkedAt = now;
      checkBackups();
      repeatOffers();
      outstandingOffers.values().removeIf(rows -> rows.stream().noneMatch(this::isPending));
    }
  }

  private boolean isPending(ChargeRow row) {
    return context.tables.charges.containsKey(row.number)
        || context.tables.reofferedBackups.containsKey(row.number);
  }

  private void repeatOffers() {
    Instant now = context.now();
    offer(
        context.tables.unacknowledgedCharges.values().stream()
            .filter(row -> !now.isBefore(row.offeredAt.plus(offerInterval(row.offerCount))))
            .limit(MAX_CHARGES_PER_MESSAGE)
            .toList());
  }

  private Duration offerInterval(int offers) {
    Duration first = context.limits().confirmationTimeout().dividedBy(2);
    return first.multipliedBy(1L << Math.min(offers - 1, MAX_DOUBLINGS));
  }

  private void offer(List<ChargeRow> rows) {
    if (rows.isEmpty()) {
      return;
    }
    Optional<PeerRow> peer = peers.backupPeer(peerTurn++);
    if (peer.isEmpty()) {
      return;
    }
    for (ChargeRow row : rows) {
      row.offerCount++;
      row.offeredAt = context.now();
      context.tables.unofferedCharges.remove(row.number);
      context.tables.unacknowledgedCharges.put(row.number, row);
    }
    long number = ++lastOffer;
    outstandingOffers.put(number, rows);
    List<org.teaseldeal.wire.gen.ledger.Entry> entries =
        rows.stream().map(row -> EntryCodec.toWire(row.entry)).toList();
    context.send(peer.get().address, Message.chargeBackup(new ChargeBackup(number, entries)));
  }

  /**
   * Offers all charges that are not on the log to peers again, including those stored for peers.
   *
   * <p>An instance that stops loses the charges it stores. If their origin stopped as well, no
   * instance could append them, although the callers have their answers.
   */
  void reofferAll() {
    for (ChargeRow row : context.tables.charges.values()) {
      row.heldByPeer = false;
      row.offerCount = 0;
      context.tables.unacknowledgedCharges.remove(row.number);
      context.tables.unofferedCharges.put(row.number, row);
    }
    for (BackupRow backup : context.tables.backups) {
      ChargeRow row =
          new ChargeRow(context.nextCharge(), backup.id, backup.entry, null, context.now());
      context.tables.reofferedBackups.put(row.number, row);
      context.tables.unofferedCharges.put(row.number, row);
    }
  }

  void onAck(ChargeBackupAck ack) {
    List<ChargeRow> rows = outstandingOffers.remove(ack.getNumber());
    if (rows != null) {
      for (ChargeRow row : rows) {
        row.heldByPeer = true;
        context.tables.unacknowledgedCharges.remove(row.number);
        context.tables.reofferedBackups.remove(row.number);
        settlement.onChargeSafe(row);
      }
    }
  }

  void onBackup(IncarnationId sender, ChargeBackup backup) {
    PeerRow peer = context.tables.peers.get(sender);
    if (peer == null || context.draining) {
      return;
    }
    for (org.teaseldeal.wire.gen.ledger.Entry wire : backup.getCharges()) {
      EntryCodec.fromWire(wire).ifPresent(this::store);
    }
    context.send(peer.address, Message.chargeBackupAck(new ChargeBackupAck(backup.getNumber())));
  }

  private void store(Entry entry) {
    ChargeId id = id(entry);
    if (context.tables.backupsById.containsKey(id) || ledger.state(team(entry)).charged(id)) {
      return;
    }
    BackupRow row = new BackupRow(id, entry, context.now());
    context.tables.backupsById.put(id, row);
    context.tables.backups.add(row);
    context.count(Counter.BACKUPS_KEPT);
  }

  private void checkBackups() {
    Iterator<BackupRow> rows = context.tables.backups.iterator();
    while (rows.hasNext()) {
      BackupRow row = rows.next();
      TeamId team = team(row.entry);
      if (ledger.state(team).charged(row.id)) {
        rows.remove();
        context.tables.backupsById.remove(row.id);
      } else if (!row.appended && isOriginUnavailable(team, row.id.origin())) {
        row.appended = true;
        context.count(Counter.BACKUPS_APPENDED);
        ledger.submit(team, row.entry);
      }
    }
  }

  private boolean isOriginUnavailable(TeamId team, IncarnationId origin) {
    return peers.isSilent(origin) || ledger.hasEnded(team, origin);
  }

  private static ChargeId id(Entry entry) {
    return switch (entry) {
      case Entry.Charge charge -> charge.id();
      case Entry.WriteOff writeOff -> writeOff.id();
      default ->
          throw new IllegalArgumentException(
              "entry was %s, expected a charge or write-off".formatted(entry));
    };
  }

  private static TeamId team(Entry entry) {
    return switch (entry) {
      case Entry.Charge charge -> charge.service().team();
      case Entry.WriteOff writeOff -> writeOff.service().team();
      default ->
          throw new IllegalArgumentException(
              "entry was %s, expected a charge or write-off".formatted(entry));
    };
  }
}
