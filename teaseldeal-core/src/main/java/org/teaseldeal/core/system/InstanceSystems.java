package org.teaseldeal.core.system;

import java.time.InstantSource;
import java.util.List;
import java.util.random.RandomGenerator;
import org.teaseldeal.api.IncarnationId;
import org.teaseldeal.api.ServiceId;
import org.teaseldeal.core.CoreCounters;
import org.teaseldeal.core.Counter;
import org.teaseldeal.core.InstanceConfig;
import org.teaseldeal.core.InstanceDump;
import org.teaseldeal.core.command.InstanceCommand;
import org.teaseldeal.core.event.InstanceEvent;
import org.teaseldeal.core.part.InstancePolicies;
import org.teaseldeal.core.table.RequestRow;
import org.teaseldeal.wire.gen.peer.Message;

/** All systems of one instance, connected to each other and run in a fixed order. */
public final class InstanceSystems {
  private final Context context;
  private final LedgerSystem ledger;
  private final BootstrapSystem bootstrap;
  private final MembershipSystem membership;
  private final QuarantineSystem quarantine;
  private final IntakeSystem intake;
  private final DeadlineSystem deadlines;
  private final BudgetSystem budgets;
  private final TransferSystem transfers;
  private final ClaimSystem claims;
  private final PlacementSystem placement;
  private final AttemptSystem attempts;
  private final SettlementSystem settlement;
  private final BackupSystem backups;
  private final DrainSystem drain;
  private final LoadSystem load;
  private final OrderSystem orders;

  public InstanceSystems(
      InstanceConfig config,
      InstancePolicies policies,
      InstantSource clock,
      RandomGenerator random) {
    context = new Context(config, clock, random);
    ledger = new LedgerSystem(context, policies.validator());
    SettingsView settings = new SettingsView(ledger);
    PeerView peers = new PeerView(context);
    RequestCompletion completion = new RequestCompletion(context, ledger);
    quarantine = new QuarantineSystem(context, policies.quarantineRule());
    membership = new MembershipSystem(context, ledger, quarantine, policies.leavingServerRule());
    bootstrap = new BootstrapSystem(context, ledger);
    settlement =
        new SettlementSystem(
            context, ledger, completion, this::storeAnswer, policies.abandonedRunRule());
    backups = new BackupSystem(context, ledger, settlement, peers);
    load = new LoadSystem(context);
    AttemptRecovery recovery =
        new AttemptRecovery(
            context, completion, settlement, quarantine, policies.rerunRule(), this::retry);
    attempts =
        new AttemptSystem(
            context, settings, settlement, quarantine, load, recovery, policies.frameFilter());
    placement =
        new PlacementSystem(
            context,
            settings,
            completion,
            attempts,
            peers,
            policies.placementPolicy(),
            policies.queueRule());
    claims = new ClaimSystem(context, ledger, completion, placement, policies.claimConfirmation());
    transfers =
        new TransferSystem(
            context, ledger, this::onTokens, this::leaseForPeer, policies.transferDeduplication());
    budgets =
        new BudgetSystem(
            context, ledger, settings, completion, transfers, peers, claims::claimOrEnqueue);
    intake =
        new IntakeSystem(
            context,
            ledger,
            settings,
            quarantine,
            completion,
            claims,
            budgets,
            policies.reservationRule());
    deadlines = new DeadlineSystem(context, completion, attempts);
    drain = new DrainSystem(context, ledger, budgets, backups);
    orders =
        new OrderSystem(
            context,
            ledger,
            settings,
            peers,
            policies.orderAuthority(),
            policies.engineRecheckRule());
  }

  private void storeAnswer(RequestRow request) {
    claims.storeAnswer(request);
  }

  private void retry(RequestRow request) {
    budgets.reserveOrWait(request);
  }

  private void onTokens(ServiceId service) {
    budgets.onTokens(service);
  }

  private boolean leaseForPeer(ServiceId service, long need) {
    return budgets.leaseForPeer(service, need);
  }

  /** Processes one event. */
  public void handle(InstanceEvent event) {
    context.readClock();
    switch (event) {
      case InstanceEvent.CallerRequest e -> intake.onRequest(e);
      case InstanceEvent.CallerDisconnected e -> {
        RequestRow request = context.tables.requests.get(e.call());
        if (request != null) {
          attempts.onCallerDisconnected(request);
        }
      }
      case InstanceEvent.FrameReceived e -> attempts.onFrame(e);
      case InstanceEvent.StreamFinished e -> attempts.onFinished(e);
      case InstanceEvent.PlainAnswerReceived e -> attempts.onPlainAnswer(e);
      case InstanceEvent.AttemptFailed e -> attempts.onFailed(e);
      case InstanceEvent.UsageReported e -> settlement.onUsage(e);
      case InstanceEvent.UsageQueryFailed e -> {
        // The query is repeated after its interval.
      }
      case InstanceEvent.OrderStateReported e -> orders.onState(e);
      case InstanceEvent.OrderStateQueryFailed e -> {
        // The query is repeated after its interval.
      }
      case InstanceEvent.OrderAccepted e -> orders.onAccepted(e);
      case InstanceEvent.OrderRefused e -> orders.onRefused(e);
      case InstanceEvent.OrderFailed e -> orders.onFailed(e);
      case InstanceEvent.LogResponseReceived e -> ledger.onLogEvent(e.event());
      case InstanceEvent.PlatformListRead e -> membership.onList(e);
      case InstanceEvent.PlatformListReadFailed e -> {
        // The last list stays in force. Peers report servers that start to leave in the meantime.
      }
      case InstanceEvent.LoadReported e -> membership.onLoad(e);
      case InstanceEvent.PeerMessageReceived e -> onPeer(e.sender(), e.message());
      case InstanceEvent.DrainRequested e -> drain.onDrainRequested();
    }
  }

  private void onPeer(IncarnationId sender, Message message) {
    Message._Fields kind = message.getSetField();
    if (kind == null) {
      context.count(Counter.UNKNOWN_PEER_MESSAGES);
      return;
    }
    try {
      onPeer(sender, message, kind);
    } catch (IllegalArgumentException | NullPointerException e) {
      // A newer peer left out a field or filled it in an unknown way. Its message is dropped.
      context.count(Counter.UNKNOWN_PEER_MESSAGES);
    }
  }

  private void onPeer(IncarnationId sender, Message message, Message._Fields kind) {
    switch (kind) {
      case HEARTBEAT -> membership.onHeartbeat(sender, message.getHeartbeat());
      case DRAW_REQUEST -> transfers.onRequest(sender, message.getDrawRequest());
      case DRAW_REPLY -> transfers.onReply(sender, message.getDrawReply());
      case DRAW_ACK -> transfers.onAck(sender, message.getDrawAck());
      case CHARGE_BACKUP -> backups.onBackup(sender, message.getChargeBackup());
      case CHARGE_BACKUP_ACK -> backups.onAck(message.getChargeBackupAck());
      case SERVERS_LEAVING -> membership.onServersLeaving(message.getServersLeaving());
      case QUARANTINE -> quarantine.onPeerReport(message.getQuarantine());
      case STATE_REQUEST -> bootstrap.onRequest(sender, message.getStateRequest());
      case STATE_CHUNK -> bootstrap.onChunk(message.getStateChunk());
    }
  }

  /** Runs every system once. */
  public void tick() {
    context.readClock();
    bootstrap.run();
    membership.run();
    quarantine.run();
    deadlines.run();
    transfers.run();
    budgets.run();
    claims.run();
    load.run();
    placement.run();
    attempts.run();
    settlement.run();
    backups.run();
    drain.run();
    orders.run();
    ledger.run();
  }

  /** Returns and clears the commands produced since the last call. */
  public List<InstanceCommand> drainCommands() {
    return context.drainCommands();
  }

  /** Returns whether new requests are accepted. */
  public boolean ready() {
    return ledger.ready() && !context.draining;
  }

  /** Returns the position up to which each stream of the ledger has been read. */
  public List<InstanceDump.Stream> streams() {
    return ledger.streams();
  }

  /** Returns the highest revision of the settings in force at this instance. */
  public long settingsRevision() {
    return ledger.settingsRevision();
  }

  /** Returns a copy of all tables. */
  public InstanceDump dump() {
    return Dumps.of(context, ledger);
  }

  /** Returns the live counters of the instance. */
  public CoreCounters counters() {
    return context.counters;
  }
}
