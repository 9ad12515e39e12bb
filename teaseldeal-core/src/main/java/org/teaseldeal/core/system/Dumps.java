package org.teaseldeal.core.system;

import java.util.List;
import java.util.Optional;
import org.teaseldeal.api.BackendServerId;
import org.teaseldeal.core.InstanceDump;
import org.teaseldeal.core.table.AttemptRow;
import org.teaseldeal.core.table.BudgetRow;
import org.teaseldeal.core.table.OrderEngineRow;
import org.teaseldeal.core.table.PeerRow;
import org.teaseldeal.core.table.PoolRow;
import org.teaseldeal.core.table.RequestRow;
import org.teaseldeal.core.table.ServerRow;
import org.teaseldeal.core.table.Tables;
import org.teaseldeal.ledger.lease.LocalLeases;
import org.teaseldeal.ledger.state.OrderTerm;

/** Copies the tables into immutable records. */
final class Dumps {
  private Dumps() {}

  static InstanceDump of(Context context, LedgerSystem ledger) {
    Tables tables = context.tables;
    return new InstanceDump(
        context.config.instance().name(),
        context.self().value(),
        context.config.dataCentre().name(),
        context.now(),
        ledger.ready() && !context.draining,
        ledger.readiness(),
        context.draining,
        ledger.settingsRevision(),
        ledger.streams(),
        tables.requestsByDeadline.stream().map(Dumps::request).toList(),
        tables.runningAttempts.values().stream().map(Dumps::attempt).toList(),
        tables.abandonedAttempts.values().stream().map(Dumps::attempt).toList(),
        tables.servers.values().stream().map(row -> server(context, row)).toList(),
        tables.peers.values().stream().map(Dumps::peer).toList(),
        tables.pools.values().stream()
            .map(p -> new InstanceDump.Pool(p.name, p.queue.size(), p.drainRate.meanSeconds()))
            .toList(),
        tables.budgets.values().stream().map(row -> budget(ledger, row)).toList(),
        transfers(tables),
        charges(tables),
        backups(tables),
        suspects(tables),
        orderPools(tables, ledger),
        context.counters.values());
  }

  private static InstanceDump.Request request(RequestRow row) {
    return new InstanceDump.Request(
        row.id.value(),
        row.call.number(),
        row.service.id().toString(),
        row.customer.id().toString(),
        row.stage.name(),
        row.worstCaseTokens,
        row.attempts,
        row.mayHaveRun,
        row.framesSent,
        row.arrivedAt,
        row.deadline);
  }

  private static InstanceDump.Attempt attempt(AttemptRow row) {
    return new InstanceDump.Attempt(
        row.id.toString(),
        row.request.id.value(),
        row.server.id.name(),
        row.nextPosition,
        row.resumesSinceProgress,
        row.startedAt,
        row.lastProgressAt);
  }

  private static InstanceDump.Server server(Context context, ServerRow row) {
    Tables tables = context.tables;
    PoolRow pool = tables.pools.get(row.pool);
    return new InstanceDump.Server(
        row.id.name(),
        row.pool,
        row.address,
        row.listed,
        tables.leavingServers.contains(row.id),
        row.outstandingHere,
        row.outstandingAtPeers,
        pool != null && !pool.health.isEligible(row.id, context.now()),
        pool == null ? 1 : pool.health.slowness(row.id),
        row.reportedRunning,
        row.reportedWaiting);
  }

  private static InstanceDump.Peer peer(PeerRow row) {
    return new InstanceDump.Peer(
        row.incarnation.value(),
        row.instance,
        row.address,
        row.dataCentre,
        row.draining,
        row.ready,
        row.lastHeartbeatAt,
        row.unacknowledgedTransfers.size());
  }

  private static InstanceDump.Budget budget(LedgerSystem ledger, BudgetRow row) {
    LocalLeases leases = ledger.leases(row.service);
    return new InstanceDump.Budget(
        row.service.toString(),
        leases.free(row.service),
        leases.reserved(row.service),
        row.waiting.size(),
        row.tokensPerSecond,
        row.leaseRequested);
  }

  private static List<InstanceDump.Transfer> transfers(Tables tables) {
    return tables.transfers.values().stream()
        .map(
            row ->
                new InstanceDump.Transfer(
                    row.number,
                    row.donor.value(),
                    row.service.toString(),
                    row.requestedTokens,
                    row.requestedAt))
        .toList();
  }

  private static List<InstanceDump.Charge> charges(Tables tables) {
    return tables.charges.values().stream()
        .map(
            row -> new InstanceDump.Charge(row.id.origin().value(), row.id.number(), row.createdAt))
        .toList();
  }

  private static List<InstanceDump.Charge> backups(Tables tables) {
    return tables.backups.stream()
        .map(row -> new InstanceDump.Charge(row.id.origin().value(), row.id.number(), row.storedAt))
        .toList();
  }

  private static List<InstanceDump.OrderPool> orderPools(Tables tables, LedgerSystem ledger) {
    return tables.orderPools.values().stream()
        .map(
            pool -> {
              Optional<OrderTerm> term = ledger.fleetState().orders(pool.name);
              return new InstanceDump.OrderPool(
                  pool.name,
                  term.map(OrderTerm::term).orElse(0L),
                  term.map(t -> t.holder().value()).orElse(""),
                  pool.takeoverPending,
                  pool.engines.entrySet().stream()
                      .map(engine -> orderEngine(engine.getKey(), engine.getValue()))
                      .toList());
            })
        .toList();
  }

  private static InstanceDump.OrderEngine orderEngine(BackendServerId id, OrderEngineRow row) {
    return new InstanceDump.OrderEngine(
        id.name(),
        row.matchesSettings,
        row.unansweredOrders.size(),
        row.nextQueryAt,
        row.highestSeenFencingToken);
  }

  private static List<InstanceDump.Suspect> suspects(Tables tables) {
    return tables.suspects.values().stream()
        .map(
            row ->
                new InstanceDump.Suspect(
                    row.fingerprint,
                    row.downServers.stream().map(id -> id.name()).toList(),
                    row.expiresAt))
        .toList();
  }
}
