package org.teaseldeal.core.system;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.teaseldeal.api.ServiceId;
import org.teaseldeal.core.command.InstanceCommand;
import org.teaseldeal.ledger.entry.Entry;

/**
 * Stops the instance once nothing is in flight: returns its leases, leaves the ledger, and stops.
 *
 * <p>A retired incarnation also stops as soon as it is idle, because the ledger ignores its
 * entries.
 */
final class DrainSystem {
  private enum Phase {
    WORKING,
    RETURNING_LEASES,
    LEAVING,
    STOPPED
  }

  private static final Duration IDLE_GRACE_PERIOD = Duration.ofSeconds(2);

  private final Context context;
  private final LedgerSystem ledger;
  private final BudgetSystem budgets;
  private final BackupSystem backups;
  private boolean backupsReoffered;
  private Phase phase = Phase.WORKING;
  private @Nullable Instant idleSince;

  DrainSystem(Context context, LedgerSystem ledger, BudgetSystem budgets, BackupSystem backups) {
    this.backups = backups;
    this.context = context;
    this.ledger = ledger;
    this.budgets = budgets;
  }

  void onDrainRequested() {
    context.draining = true;
  }

  void run() {
    if (phase == Phase.STOPPED || !(context.draining || ledger.retired())) {
      return;
    }
    if (!context.tables.isIdle()) {
      return;
    }
    if (idleSince == null) {
      idleSince = context.now();
    }
    if (!backupsReoffered
        && (ledger.retired() || !context.now().isBefore(idleSince.plus(IDLE_GRACE_PERIOD)))) {
      backupsReoffered = true;
      backups.reofferAll();
      return;
    }
    if (retiredWithChargesHeld() || logWaitExpired(idleSince)) {
      stop();
      return;
    }
    if (ledger.retired()) {
      return;
    }
    switch (phase) {
      case WORKING -> returnLeases();
      case RETURNING_LEASES -> leave();
      case LEAVING -> stopOnceIdle();
      case STOPPED -> {}
    }
  }

  private boolean retiredWithChargesHeld() {
    return ledger.retired() && allChargesHeldByPeers();
  }

  private boolean allChargesHeldByPeers() {
    return context.tables.reofferedBackups.isEmpty()
        && context.tables.charges.values().stream().allMatch(row -> row.heldByPeer);
  }

  /**
   * Returns whether the drain has waited long enough for the log. Without the log, leases can't be
   * returned, and an operator has to retire the incarnation.
   */
  private boolean logWaitExpired(Instant since) {
    return !context.now().isBefore(since.plus(context.limits().drainTimeout()));
  }

  private void returnLeases() {
    boolean backupsLeft = !context.tables.backups.isEmpty() && !backupsReoffered;
    if (!context.tables.charges.isEmpty()
        || !context.tables.reofferedBackups.isEmpty()
        || backupsLeft
        || transfersMayStillCome()) {
      return;
    }
    for (ServiceId service : List.copyOf(context.tables.budgets.keySet())) {
      budgets.returnAll(service);
    }
    phase = Phase.RETURNING_LEASES;
  }

  /**
   * Returns whether outstanding transfers may still bring tokens. Tokens that arrive after the
   * leases were returned would be written off with this incarnation.
   */
  private boolean transfersMayStillCome() {
    Instant since = idleSince == null ? context.now() : idleSince;
    return !context.tables.transfers.isEmpty()
        && context.now().isBefore(since.plus(IDLE_GRACE_PERIOD));
  }

  private void leave() {
    if (!ledger.isIdle()) {
      return;
    }
    ledger.submitToAll(new Entry.Leave());
    phase = Phase.LEAVING;
  }

  private void stopOnceIdle() {
    if (ledger.isIdle()) {
      stop();
    }
  }

  private void stop() {
    phase = Phase.STOPPED;
    context.emit(new InstanceCommand.Stop());
  }
}
