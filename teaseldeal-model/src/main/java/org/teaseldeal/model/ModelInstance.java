package org.teaseldeal.model;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.teaseldeal.api.BackendServerId;
import org.teaseldeal.decisions.DrainPhases;
import org.teaseldeal.gateway.account.HeartbeatCount;
import org.teaseldeal.gateway.account.HolderPort;
import org.teaseldeal.gateway.account.HolderService;
import org.teaseldeal.gateway.account.PrepaidAccounts;
import org.teaseldeal.gateway.account.TokenDraws;
import org.teaseldeal.gateway.account.TokenHolders;
import org.teaseldeal.gateway.account.TokenRequests;
import org.teaseldeal.gateway.event.GatewayEvent;
import org.teaseldeal.gateway.flow.GatewayComponents;
import org.teaseldeal.gateway.flow.RequestDispatcher;
import org.teaseldeal.gateway.flow.RetryLimits;
import org.teaseldeal.gateway.log.FleetLog;
import org.teaseldeal.gateway.peer.LoadExchange;
import org.teaseldeal.gateway.peer.PeerLoads;
import org.teaseldeal.gateway.plan.GatewayPlan;
import org.teaseldeal.gateway.plan.PrepaidCustomer;
import org.teaseldeal.gateway.quarantine.RequestQuarantine;
import org.teaseldeal.gateway.server.CachedPrompts;
import org.teaseldeal.gateway.server.ServerDirectory;
import org.teaseldeal.gateway.server.ServerListing;
import org.teaseldeal.net.HttpCall;
import org.teaseldeal.net.HttpCallRequest;
import org.teaseldeal.net.HttpFailure;
import org.teaseldeal.net.HttpListener;

/** One process of an instance: the gateway's parts, on the model's network. */
final class ModelInstance {
  private static final Duration TICK = Duration.ofMillis(20);
  private static final Duration IDLE_READ = Duration.ofMillis(300);

  /** Until a connection that nobody answers counts as failed. */
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(250);

  /** Beyond its patience, for a call between instances. */
  private static final Duration WAY = Duration.ofMillis(150);

  private static final Duration GRACE = Duration.ofSeconds(8);
  private static final int CALL_OCTETS = 250;
  private static final int EVENT_OCTETS = 60;
  private static final RetryLimits LIMITS = new RetryLimits(0.2, 100, Duration.ofSeconds(10));

  private final String name;
  private final ModelFleet fleet;
  private final VirtualTime time;
  private final ServerDirectory servers = new ServerDirectory();
  private final CachedPrompts cached = new CachedPrompts();
  private final PrepaidAccounts accounts;
  private final HolderService holderAnswers;
  private final FleetLog accountLog;
  private final TokenRequests tokens;
  private final TokenDraws draws;
  private final LoadExchange loads;
  private final RequestDispatcher desk;
  private final Set<ModelExchange> open = new LinkedHashSet<>();
  private @Nullable GatewayPlan plan;
  private @Nullable DrainPhases drain;
  private DrainPhases.Phase phase = DrainPhases.Phase.ACCEPTING;
  private boolean alive = true;

  ModelInstance(String name, ModelFleet fleet, long epoch) {
    this.name = name;
    this.fleet = fleet;
    this.time = fleet.time();
    TokenHolders holders = new TokenHolders(name, fleet::names);
    accounts =
        new PrepaidAccounts(
            name,
            this::prepaid,
            holders,
            this::onEvent,
            time,
            fleet.machineClock(name),
            () -> fleet.machineClock(name),
            () -> Optional.of(heartbeats()));
    holderAnswers = new HolderService(accounts, time);
    tokens =
        new TokenRequests(accounts, holders, new Holders(), this::othersHeard, this::onEvent, time);
    draws = new TokenDraws(accounts, this::draw, this::onEvent, time, new Random(fleet.nextSeed()));
    accountLog =
        new FleetLog(fleet.log().port(name), name, epoch, time, IDLE_READ, List.of(accounts));
    loads =
        new LoadExchange(
            name,
            servers,
            fleet.has(Mechanism.CACHES) ? cached : new CachedPrompts(),
            fleet::names,
            Optional::of,
            this::sendDatagram,
            time);
    desk =
        new RequestDispatcher(
            new GatewayComponents(
                () -> plan,
                servers,
                tokens,
                new RequestQuarantine(name, servers::lists, this::onEvent, time),
                new ModelDialect(),
                this::send,
                fleet.has(Mechanism.LOADS) ? loads::peerLoads : () -> PeerLoads.NONE,
                cached,
                () -> fleet.names().size(),
                LIMITS,
                this::onEvent,
                time,
                new Random(fleet.nextSeed())));
    fleet.servers().forEach(server -> list(server, true));
    long phaseNanos = new Random(fleet.nextSeed()).nextLong(TICK.toNanos());
    time.afterNanos(phaseNanos, this::tick);
  }

  String name() {
    return name;
  }

  boolean alive() {
    return alive;
  }

  /** Whether the balancer gives it requests. */
  boolean ready() {
    return alive && drain == null && plan != null && accountLog.ready();
  }

  /** Takes in a configuration. */
  void configure(GatewayPlan next) {
    if (plan == null || plan.version() < next.version()) {
      plan = next;
    }
  }

  /** Hears that a server is there, or gone. */
  void list(ModelServer server, boolean present) {
    BackendServerId id = new BackendServerId(server.name());
    if (!present) {
      servers.remove(id);
      return;
    }
    boolean engine = server instanceof ModelEngine;
    servers.put(
        new ServerListing(
            id,
            engine ? ModelFleet.ENGINES : ModelFleet.SERVICES,
            server.name(),
            "",
            fleet.places(engine),
            false,
            Optional.of(fleet.startOf(server))));
  }

  /** Takes a caller's attempt in. */
  void take(ModelExchange exchange) {
    open.add(exchange);
    desk.handle(exchange);
  }

  /** Ends at once, as by a loss of power. */
  void kill() {
    alive = false;
    List<ModelExchange> lost = new ArrayList<>(open);
    open.clear();
    lost.forEach(ModelExchange::lose);
  }

  /** Begins to stop. */
  void stop() {
    drain = new DrainPhases(time.instant(), GRACE);
    desk.drain(drain.admission());
    accounts.close();
  }

  private void tick() {
    if (!alive) {
      return;
    }
    accountLog.tick();
    accounts.onLogReachable(!accountLog.failing());
    loads.tick();
    accounts.tick();
    tokens.tick();
    if (fleet.has(Mechanism.DRAWS)) {
      draws.tick();
    }
    desk.tick();
    open.removeIf(ModelExchange::over);
    stepDrain();
    if (alive) {
      time.after(TICK, this::tick);
    }
  }

  private void stepDrain() {
    DrainPhases phases = drain;
    if (phases == null) {
      return;
    }
    DrainPhases.Phase next =
        phases.advance(
            time.instant(), new DrainPhases.Outstanding(open.size(), accounts.allReturned()));
    if (next == phase) {
      return;
    }
    phase = next;
    switch (next) {
      case ACCEPTING, SHORT_ONLY, CLOSING, FLUSHING -> {}
      case REFUSING -> desk.refuseAllNotRun();
      case ABORTING -> desk.abortAll();
      case DONE -> {
        kill();
        fleet.onStopped(name);
      }
    }
  }

  private boolean othersHeard() {
    return !fleet.has(Mechanism.ISOLATION) || loads.peersHeard();
  }

  private void onEvent(GatewayEvent event) {
    fleet.onEvent(name, event);
  }

  private OptionalLong prepaid(String customer) {
    GatewayPlan known = plan;
    return known == null
        ? OptionalLong.empty()
        : known.customer(customer).map(PrepaidCustomer::prepaid).orElse(OptionalLong.empty());
  }

  private HeartbeatCount heartbeats() {
    return new HeartbeatCount(time.nanos() / 50_000_000, 20);
  }

  private void sendDatagram(String to, byte[] message) {
    fleet
        .network()
        .datagram(
            name,
            to,
            message.length,
            () -> fleet.running(to).ifPresent(other -> other.hear(message)));
  }

  private void hear(byte[] message) {
    loads.receive(message);
  }

  /** Asks another instance, which answers by {@code reply}; nothing comes back if it is away. */
  private <T> void call(
      String to,
      Duration patience,
      T otherwise,
      Consumer<T> answer,
      BiConsumer<ModelInstance, Consumer<T>> asked) {
    boolean[] over = new boolean[1];
    Consumer<T> once =
        result -> {
          if (!over[0] && alive) {
            over[0] = true;
            answer.accept(result);
          }
        };
    boolean reached = fleet.network().connected(name, to) && fleet.running(to).isPresent();
    time.after(reached ? patience.plus(WAY) : CONNECT_TIMEOUT, () -> once.accept(otherwise));
    fleet
        .network()
        .control(
            name,
            to,
            CALL_OCTETS,
            () ->
                fleet
                    .running(to)
                    .ifPresent(
                        other ->
                            asked.accept(
                                other,
                                result ->
                                    fleet
                                        .network()
                                        .control(
                                            to, name, CALL_OCTETS, () -> once.accept(result)))));
  }

  private void draw(String from, String customer, long wanted, Consumer<OptionalLong> given) {
    call(
        from,
        WAY,
        OptionalLong.empty(),
        given,
        (other, reply) ->
            reply.accept(OptionalLong.of(other.accounts.giveToPeer(customer, wanted))));
  }

  /** Holders are asked over the network, as the product's own calls do. */
  private final class Holders implements HolderPort {
    @Override
    public void request(String holder, Request ask, Consumer<Answer> answer) {
      call(
          holder,
          ask.maxWait(),
          new Answer.Unreachable("no answer"),
          answer,
          (other, reply) -> other.reserveFor(ask, reply));
    }

    @Override
    public void returnTokens(String holder, String customer, long unused) {
      fleet
          .network()
          .control(
              name,
              holder,
              CALL_OCTETS,
              () ->
                  fleet
                      .running(holder)
                      .ifPresent(other -> other.accounts.takeBackUnused(customer, unused)));
    }
  }

  private void reserveFor(HolderPort.Request ask, Consumer<HolderPort.Answer> reply) {
    if (!accounts.mayGiveTokens(ask.customer())) {
      reply.accept(new HolderPort.Answer.Unreachable("it doesn't serve others"));
      return;
    }
    holderAnswers.answer(ask, reply);
  }

  /** Sends a request to a backend server. */
  private HttpCall send(HttpCallRequest sent, HttpListener listener) {
    ServerCall call = new ServerCall(sent, listener);
    call.start();
    return call;
  }

  private final class ServerCall implements HttpCall, ModelServer.Listener {
    private final HttpCallRequest sent;
    private final HttpListener listener;
    private final ModelServer server;
    private HttpCall atServer = () -> {};
    private boolean headSent;
    private int parts;
    private boolean over;

    ServerCall(HttpCallRequest sent, HttpListener listener) {
      this.sent = sent;
      this.listener = listener;
      this.server = fleet.server(sent.address());
    }

    void start() {
      if (server.down()) {
        time.after(fleet.network().delay().multipliedBy(2), () -> fail(HttpFailure.NOT_SENT));
        return;
      }
      time.after(
          sent.timeout(),
          () -> {
            if (!over) {
              atServer.cancel();
              fail(HttpFailure.NO_ANSWER);
            }
          });
      fleet
          .network()
          .carry(
              name,
              server.name(),
              CALL_OCTETS,
              () -> {
                if (!over && !server.down()) {
                  String id = String.valueOf(sent.headers().get(ModelDialect.REQUEST));
                  fleet.onRun(id);
                  atServer = server.run(fleet.requestOf(id), this);
                }
              });
    }

    private void fail(HttpFailure failure) {
      if (!over && alive) {
        over = true;
        listener.onFailure(failure, "model");
      }
    }

    @Override
    public void cancel() {
      over = true;
      fleet.network().carry(name, server.name(), EVENT_OCTETS, () -> atServer.cancel());
    }

    private void back(Runnable action) {
      fleet
          .network()
          .carry(
              server.name(),
              name,
              EVENT_OCTETS,
              () -> {
                if (!over && alive) {
                  action.run();
                }
              });
    }

    @Override
    public void onPart() {
      int part = ++parts;
      back(
          () -> {
            head(Map.of());
            listener.onBodyPart(ModelFleet.event(part));
          });
    }

    private void head(Map<String, String> headers) {
      if (!headSent) {
        headSent = true;
        listener.onHead(headers.isEmpty() ? 200 : 503, headers);
      }
    }

    @Override
    public void onEnd() {
      back(
          () -> {
            over = true;
            listener.onEnd();
          });
    }

    @Override
    public void onFull() {
      back(
          () -> {
            head(Map.of(ModelDialect.FULL, "1"));
            over = true;
            listener.onEnd();
          });
    }

    @Override
    public void onBroken() {
      back(() -> fail(headSent ? HttpFailure.BROKEN_ANSWER : HttpFailure.NO_ANSWER));
    }
  }
}
