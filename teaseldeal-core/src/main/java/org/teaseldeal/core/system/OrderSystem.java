package org.teaseldeal.core.system;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.teaseldeal.api.BackendServerId;
import org.teaseldeal.api.EngineOrder;
import org.teaseldeal.api.IncarnationId;
import org.teaseldeal.core.Counter;
import org.teaseldeal.core.command.InstanceCommand;
import org.teaseldeal.core.event.InstanceEvent;
import org.teaseldeal.core.part.EngineRecheckRule;
import org.teaseldeal.core.part.OrderAuthority;
import org.teaseldeal.core.table.OrderEngineRow;
import org.teaseldeal.core.table.OrderPoolRow;
import org.teaseldeal.core.table.PeerRow;
import org.teaseldeal.core.table.ServerRow;
import org.teaseldeal.decisions.DesiredEngineState;
import org.teaseldeal.ledger.entry.Entry;
import org.teaseldeal.ledger.outcome.Outcome;
import org.teaseldeal.ledger.state.InstanceView;
import org.teaseldeal.ledger.state.OrderTerm;
import org.teaseldeal.settings.FleetSettings;
import org.teaseldeal.settings.PoolSettings;

/**
 * Sends orders to engines until their state matches the settings in force.
 *
 * <p>For each pool, one instance does so. It holds a term that is recorded on the log, and sends
 * the term's number with each order as the fencing token. It doesn't rely on an order arriving
 * once, or arriving only during its term. Instead, it keeps querying the state of each engine and
 * sends the orders that remove the difference. If an engine ignores fencing tokens and carries out
 * a late order of an earlier term holder, the deviation is corrected after the next query.
 */
final class OrderSystem {
  private static final Duration CHECK_INTERVAL = Duration.ofMillis(100);

  /**
   * The interval at which one engine is queried. In a large pool the interval is longer: {@link
   * #QUERY_INTERVAL_PER_ENGINE} times the number of engines.
   */
  private static final Duration QUERY_INTERVAL = Duration.ofSeconds(1);

  private static final Duration QUERY_INTERVAL_PER_ENGINE = Duration.ofMillis(10);

  /** Longer than the timeout with which the router waits for an engine's answer to an order. */
  private static final Duration ORDER_ANSWER_TIMEOUT = Duration.ofSeconds(6);

  /**
   * How long a term holder must seem unavailable before the first instance in the succession order
   * takes over. Each further instance waits this long once more.
   */
  private static final Duration SUCCESSION_GRACE = Duration.ofSeconds(2);

  private final Context context;
  private final LedgerSystem ledger;
  private final SettingsView settings;
  private final PeerView peers;
  private final OrderAuthority orderAuthority;
  private final EngineRecheckRule recheckRule;
  private Instant checkedAt = Instant.MIN;
  private long lastOrderNumber;

  OrderSystem(
      Context context,
      LedgerSystem ledger,
      SettingsView settings,
      PeerView peers,
      OrderAuthority orderAuthority,
      EngineRecheckRule recheckRule) {
    this.context = context;
    this.ledger = ledger;
    this.settings = settings;
    this.peers = peers;
    this.orderAuthority = orderAuthority;
    this.recheckRule = recheckRule;
  }

  void run() {
    Instant now = context.now();
    if (now.isBefore(checkedAt.plus(CHECK_INTERVAL))) {
      return;
    }
    checkedAt = now;
    readSettings();
    for (OrderPoolRow pool : context.tables.orderPools.values()) {
      Optional<OrderTerm> term = ledger.fleetState().orders(pool.name);
      if (mayOrder(term)) {
        queryEngines(pool);
      } else {
        pool.engines.clear();
      }
      if (!isHolder(term)) {
        takeOverIfDue(pool, term);
      }
    }
  }

  private void readSettings() {
    Map<String, PoolSettings> configuredPools = new TreeMap<>();
    settings.fleet().map(FleetSettings::pools).orElse(Map.of()).values().stream()
        .filter(PoolSettings::configuresEngines)
        .forEach(pool -> configuredPools.put(pool.name(), pool));
    context.tables.orderPools.keySet().retainAll(configuredPools.keySet());
    configuredPools.values().forEach(this::readSettings);
  }

  private void readSettings(PoolSettings pool) {
    DesiredEngineState desired =
        new DesiredEngineState(pool.models(), pool.adapters(), pool.role());
    OrderPoolRow row =
        context.tables.orderPools.computeIfAbsent(
            pool.name(), name -> new OrderPoolRow(name, desired));
    if (!row.desired.equals(desired)) {
      row.desired = desired;
      row.engines.values().forEach(engine -> engine.matchesSettings = false);
    }
  }

  private boolean isHolder(Optional<OrderTerm> term) {
    return term.filter(t -> t.holder().equals(context.self())).isPresent();
  }

  private boolean mayOrder(Optional<OrderTerm> term) {
    return !context.draining
        && !ledger.retired()
        && orderAuthority.mayOrder(isHolder(term), ledger.fleetStreamRecentlyRead());
  }

  private void queryEngines(OrderPoolRow pool) {
    Map<BackendServerId, ServerRow> servers =
        context.tables.servers.values().stream()
            .filter(server -> server.pool.equals(pool.name) && server.listed)
            .filter(server -> !context.tables.leavingServers.contains(server.id))
            .collect(Collectors.toMap(server -> server.id, server -> server));
    pool.engines.keySet().retainAll(servers.keySet());
    for (BackendServerId id : servers.keySet()) {
      pool.engines.computeIfAbsent(id, added -> new OrderEngineRow(context.now()));
    }
    Duration scaledInterval = QUERY_INTERVAL_PER_ENGINE.multipliedBy(servers.size());
    Duration interval =
        scaledInterval.compareTo(QUERY_INTERVAL) > 0 ? scaledInterval : QUERY_INTERVAL;
    pool.engines.forEach((id, engine) -> query(id, servers.get(id), engine, interval));
  }

  private void query(
      BackendServerId id, @Nullable ServerRow server, OrderEngineRow engine, Duration interval) {
    Instant now = context.now();
    if (server == null
        || now.isBefore(engine.nextQueryAt)
        || awaitsAnswers(engine)
        || !recheckRule.queryAgain(engine.matchesSettings)) {
      return;
    }
    engine.nextQueryAt = now.plus(interval);
    context.count(Counter.ORDER_STATES_ASKED);
    context.emit(new InstanceCommand.QueryOrderState(id, server.address));
  }

  private boolean awaitsAnswers(OrderEngineRow engine) {
    return !engine.unansweredOrders.isEmpty() && context.now().isBefore(engine.answerDeadline);
  }

  void onState(InstanceEvent.OrderStateReported report) {
    readSettings();
    ServerRow server = context.tables.servers.get(report.server());
    OrderPoolRow pool = server == null ? null : context.tables.orderPools.get(server.pool);
    OrderEngineRow engine = pool == null ? null : pool.engines.get(report.server());
    if (server == null || pool == null || engine == null || awaitsAnswers(engine)) {
      return;
    }
    Optional<OrderTerm> term = ledger.fleetState().orders(pool.name);
    if (!mayOrder(term)) {
      return;
    }
    List<EngineOrder> orders = pool.desired.ordersFrom(report.state());
    if (engine.matchesSettings && !orders.isEmpty()) {
      context.count(Counter.ORDER_DEVIATIONS);
    }
    engine.matchesSettings = orders.isEmpty();
    long fencing = term.map(OrderTerm::term).orElse(0L);
    if (fencing >= engine.highestSeenFencingToken) {
      send(server, engine, fencing, orders);
    }
  }

  private void send(
      ServerRow server, OrderEngineRow engine, long fencing, List<EngineOrder> orders) {
    engine.unansweredOrders.clear();
    engine.answerDeadline = context.now().plus(ORDER_ANSWER_TIMEOUT);
    for (EngineOrder order : orders) {
      long number = ++lastOrderNumber;
      engine.unansweredOrders.add(number);
      context.count(Counter.ORDERS_SENT);
      context.emit(
          new InstanceCommand.SendOrder(server.id, server.address, fencing, number, order));
    }
  }

  void onAccepted(InstanceEvent.OrderAccepted answer) {
    removeUnanswered(answer.server(), answer.number());
  }

  void onFailed(InstanceEvent.OrderFailed failure) {
    context.count(Counter.ORDERS_FAILED);
    removeUnanswered(failure.server(), failure.number());
  }

  /**
   * Handles a refused order. A fencing token above this instance's term belongs to a newer term,
   * which will appear on the log.
   */
  void onRefused(InstanceEvent.OrderRefused refusal) {
    context.count(Counter.ORDERS_REFUSED);
    OrderEngineRow engine = removeUnanswered(refusal.server(), refusal.number());
    if (engine != null) {
      engine.highestSeenFencingToken = Math.max(engine.highestSeenFencingToken, refusal.highest());
    }
  }

  private @Nullable OrderEngineRow removeUnanswered(BackendServerId server, long number) {
    for (OrderPoolRow pool : context.tables.orderPools.values()) {
      OrderEngineRow engine = pool.engines.get(server);
      if (engine != null && engine.unansweredOrders.remove(number)) {
        return engine;
      }
    }
    return null;
  }

  private void takeOverIfDue(OrderPoolRow pool, Optional<OrderTerm> term) {
    if (pool.takeoverPending
        || context.draining
        || !ledger.fleetStreamRecentlyRead()
        || holderActive(pool, term)) {
      pool.holderUnavailableSince = null;
      return;
    }
    if (pool.holderUnavailableSince == null) {
      pool.holderUnavailableSince = context.now();
    }
    int rank = successionOrder(pool.name).indexOf(context.self());
    Instant takeoverAt = pool.holderUnavailableSince.plus(SUCCESSION_GRACE.multipliedBy(rank + 1L));
    if (rank < 0 || context.now().isBefore(takeoverAt)) {
      return;
    }
    pool.takeoverPending = true;
    long previous = term.map(OrderTerm::term).orElse(0L);
    ledger.submitToFleet(
        new Entry.TakeOrders(pool.name, previous), outcome -> onTakeoverOutcome(pool, outcome));
  }

  private void onTakeoverOutcome(OrderPoolRow pool, Outcome outcome) {
    pool.takeoverPending = false;
    pool.holderUnavailableSince = null;
    if (outcome instanceof Outcome.OrdersTaken) {
      context.count(Counter.ORDER_TERMS_TAKEN);
    }
  }

  private boolean holderActive(OrderPoolRow pool, Optional<OrderTerm> term) {
    if (term.isEmpty() || ledger.fleetState().ended(term.get().holder())) {
      return false;
    }
    IncarnationId holder = term.get().holder();
    return peers.isActive(holder) && holderReadsLog(pool, context.tables.peers.get(holder));
  }

  /**
   * Returns whether the term holder keeps reading the log. A holder that is cut off from the log
   * alone still sends heartbeats to its peers but sends no orders, and the pool would not receive
   * new settings until the holder reaches the log again.
   */
  private boolean holderReadsLog(OrderPoolRow pool, @Nullable PeerRow holder) {
    if (holder == null || holder.fleetStreamOffset >= pool.expectedHolderOffset) {
      pool.expectedHolderOffset = ledger.fleetState().foldedTo();
      pool.expectedHolderOffsetSetAt = context.now();
      return true;
    }
    Duration silenceTimeout = context.limits().logSilenceTimeout();
    return context.now().isBefore(pool.expectedHolderOffsetSetAt.plus(silenceTimeout));
  }

  /**
   * Returns the joined instances that seem to be active, including this one, in their succession
   * order.
   */
  private List<IncarnationId> successionOrder(String pool) {
    Set<IncarnationId> live =
        peers.live().stream().map(peer -> peer.incarnation).collect(Collectors.toSet());
    return ledger.fleetState().instances().stream()
        .map(InstanceView::incarnation)
        .filter(joined -> joined.equals(context.self()) || live.contains(joined))
        .sorted(
            Comparator.<IncarnationId>comparingLong(i -> PeerView.rendezvousWeight(pool, i))
                .reversed())
        .toList();
  }
}
