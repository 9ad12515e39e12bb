package org.teaseldeal.core.fake;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.time.Duration;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import org.teaseldeal.api.AttemptId;
import org.teaseldeal.api.CustomerId;
import org.teaseldeal.api.RequestId;
import org.teaseldeal.api.ServiceId;
import org.teaseldeal.api.Sha256;
import org.teaseldeal.api.TeamId;
import org.teaseldeal.core.command.InstanceCommand;
import org.teaseldeal.core.event.InstanceEvent;
import org.teaseldeal.core.part.InstancePolicies;
import org.teaseldeal.ledger.AccountId;
import org.teaseldeal.ledger.LogRecord;
import org.teaseldeal.ledger.StreamPartitioning;
import org.teaseldeal.ledger.entry.Entry;
import org.teaseldeal.ledger.fold.EntryOutcome;
import org.teaseldeal.ledger.fold.KeyRetention;
import org.teaseldeal.ledger.fold.LedgerFold;
import org.teaseldeal.ledger.outcome.Outcome;
import org.teaseldeal.ledger.state.AccountView;
import org.teaseldeal.ledger.state.LedgerState;
import org.teaseldeal.settings.CustomerSettings;
import org.teaseldeal.settings.FleetSettings;
import org.teaseldeal.settings.LeasePolicySettings;
import org.teaseldeal.settings.PriorityClass;
import org.teaseldeal.settings.ServiceKind;
import org.teaseldeal.settings.ServiceSettings;
import org.teaseldeal.settings.SubtreeId;
import org.teaseldeal.settings.TeamSettings;
import org.teaseldeal.wire.gen.peer.Message;

/**
 * Several instances in one process, with a log, a network between them, backend servers and
 * callers.
 *
 * <p>Team {@code wool} has the services {@code drafts} (model, idempotent), {@code holds} (model,
 * not idempotent), {@code bids} (plain, not idempotent, 7 tokens a call) and {@code rates} (plain,
 * idempotent). The tokens of its customers {@code mill} and {@code exporter} are their names, and
 * {@code exporter} may call {@code drafts} only.
 */
public final class FakeFleet {
  public static final String MILL = "mill";
  public static final String EXPORTER = "exporter";
  private static final Duration TICK = Duration.ofMillis(5);
  private static final Duration LIST_INTERVAL = Duration.ofMillis(300);
  private static final TeamId WOOL = new TeamId("wool");

  private final Simulation simulation;
  private final StreamPartitioning streams;
  private final FakeLog log;
  private final FakeSettings settings = new FakeSettings();
  private InstancePolicies policies = InstancePolicies.standard().withValidator(settings);
  private final TreeMap<String, FakeInstance> instances = new TreeMap<>();
  private final TreeMap<String, FakeServer> servers = new TreeMap<>();
  private final Set<String> cutLinks = new TreeSet<>();
  private final Map<String, Integer> runs = new TreeMap<>();

  private final Set<String> instancesWithFrozenList = new TreeSet<>();

  /** Time that a message takes from one instance to another. */
  public Duration peerDelay = Duration.ofMillis(1);

  /** Whether all messages between instances are lost. */
  public boolean losesPeerMessages;

  public FakeFleet(long seed) {
    this(seed, 1);
  }

  /** Creates a fleet whose ledger has {@code streams} streams. */
  public FakeFleet(long seed, int streams) {
    this.streams = new StreamPartitioning(streams);
    simulation = new Simulation(seed);
    log = new FakeLog(simulation);
  }

  /**
   * Creates a fleet with settings and a budget of {@code tokens}, two engines and one plain server.
   */
  public static FakeFleet withBudget(long seed, long tokens) {
    return withBudget(seed, tokens, 1);
  }

  /** Creates such a fleet with a ledger of {@code streams} streams. */
  public static FakeFleet withBudget(long seed, long tokens, int streams) {
    return withBudget(seed, tokens, streams, FakeSettings.fleet(8));
  }

  /** Creates such a fleet with the given lease policy. */
  public static FakeFleet withBudget(long seed, long tokens, LeasePolicySettings lease) {
    return withBudget(seed, tokens, 1, FakeSettings.fleet(8, lease));
  }

  private static FakeFleet withBudget(
      long seed, long tokens, int streams, FleetSettings fleetSettings) {
    FakeFleet fleet = new FakeFleet(seed, streams);
    fleet.log.write(
        "operator",
        new Entry.PublishSettings(SubtreeId.FLEET, 0, "ops", fleet.settings.put(fleetSettings)));
    fleet.log.write(
        fleet.streams.of(WOOL),
        "operator",
        new Entry.PublishSettings(SubtreeId.of(WOOL), 0, "wool", fleet.settings.put(wool())),
        new Entry.CreateBudget(AccountId.of(WOOL), tokens, "ops", "create-wool"));
    fleet.addServer("engine-a", "engines");
    fleet.addServer("engine-b", "engines");
    fleet.addServer("desk-a", "desks");
    return fleet;
  }

  /** Publishes a team without services, one of whose customers has the token {@code token}. */
  public void publishTeamWithTokenOf(String name, String token) {
    TeamId team = new TeamId(name);
    CustomerSettings copy =
        new CustomerSettings(new CustomerId(team, "copy"), Sha256.hex(token), Set.of(), 1);
    TeamSettings subtree = new TeamSettings(team, Map.of("copy", copy), Map.of());
    log.write(
        streams.of(team),
        "operator",
        new Entry.PublishSettings(SubtreeId.of(team), 0, name, settings.put(subtree)));
  }

  private static TeamSettings wool() {
    return new TeamSettings(
        WOOL,
        Map.of(MILL, customer(MILL, Set.of()), EXPORTER, customer(EXPORTER, Set.of("drafts"))),
        Map.of(
            "drafts", service("drafts", ServiceKind.MODEL, true, 60, 0),
            "holds", service("holds", ServiceKind.MODEL, false, 60, 0),
            "bids", service("bids", ServiceKind.PLAIN, false, 0, 7),
            "rates", service("rates", ServiceKind.PLAIN, true, 0, 7)));
  }

  private static CustomerSettings customer(String name, Set<String> services) {
    return new CustomerSettings(new CustomerId(WOOL, name), Sha256.hex(name), services, 1);
  }

  private static ServiceSettings service(
      String name, ServiceKind kind, boolean idempotent, long maxOutput, long perCall) {
    return new ServiceSettings(
        new ServiceId(WOOL, name),
        kind,
        kind == ServiceKind.MODEL ? "engines" : "desks",
        "small",
        PriorityClass.STANDARD,
        idempotent,
        maxOutput,
        perCall,
        Duration.ofSeconds(60));
  }

  public Simulation simulation() {
    return simulation;
  }

  public FakeLog log() {
    return log;
  }

  InstancePolicies policies() {
    return policies;
  }

  /**
   * Changes the policies of instances that start from now on, to show which faults the standard
   * policies prevent.
   */
  public void changePolicies(UnaryOperator<InstancePolicies> change) {
    policies = change.apply(policies);
  }

  /** Starts an instance, or a new incarnation of one, and schedules its ticks. */
  public FakeInstance start(String name, String dataCentre) {
    int run = runs.merge(name, 1, Integer::sum);
    FakeInstance instance = new FakeInstance(this, name, dataCentre, run, streams.count());
    instances.put(name, instance);
    scheduleTick(instance);
    scheduleListRead(instance);
    return instance;
  }

  /** Starts the instances {@code names}, all in one data centre, and waits until they are ready. */
  public List<FakeInstance> startReady(String... names) {
    List<FakeInstance> started =
        java.util.Arrays.stream(names).map(name -> start(name, "hal-nord")).toList();
    boolean ready =
        simulation.runUntil(
            () -> started.stream().allMatch(i -> i.core().ready()), Duration.ofSeconds(20));
    if (!ready) {
      throw new IllegalStateException(
          "instances did not become ready: " + started.getFirst().core().dump().readiness());
    }
    simulation.run(Duration.ofSeconds(1));
    return started;
  }

  private void scheduleTick(FakeInstance instance) {
    simulation.after(
        TICK,
        () -> {
          if (instance.alive()) {
            instance.step();
            scheduleTick(instance);
          }
        });
  }

  private void scheduleListRead(FakeInstance instance) {
    simulation.after(
        Duration.ofMillis(1),
        () -> {
          if (instancesWithFrozenList.contains(instance.address())) {
            simulation.after(LIST_INTERVAL, () -> scheduleListRead(instance));
          } else if (instance.alive()) {
            instance.deliver(
                new InstanceEvent.PlatformListRead(
                    instances.values().stream()
                        .filter(FakeInstance::alive)
                        .map(FakeInstance::listed)
                        .toList(),
                    servers.values().stream().map(FakeServer::listed).toList()));
            simulation.after(LIST_INTERVAL, () -> scheduleListRead(instance));
          }
        });
  }

  /** Prevents {@code instance} from reading the platform's list from now on. */
  public void freezeListOf(FakeInstance instance) {
    instancesWithFrozenList.add(instance.address());
  }

  /** Allows {@code instance} to read the platform's list again. */
  public void unfreezeListOf(FakeInstance instance) {
    instancesWithFrozenList.remove(instance.address());
  }

  /** Publishes the fleet's settings subtree by two operators, both based on the same revision. */
  public void publishFleetSettingsConcurrently(String one, String other) {
    long base = ledger().subtree(SubtreeId.FLEET).orElseThrow().revision();
    for (String operator : List.of(one, other)) {
      String text = settings.put(settings.fleet(ledgerFleetText()).orElseThrow());
      log.write(operator, new Entry.PublishSettings(SubtreeId.FLEET, base, operator, text));
    }
  }

  /**
   * Publishes the standard settings with {@code models} as the models that each engine should have.
   */
  public void publishModels(Map<String, String> models) {
    long base = ledger().subtree(SubtreeId.FLEET).orElseThrow().revision();
    String text = settings.put(FakeSettings.withModels(models));
    log.write("operator", new Entry.PublishSettings(SubtreeId.FLEET, base, "ops", text));
  }

  private String ledgerFleetText() {
    return ledger().subtree(SubtreeId.FLEET).orElseThrow().toml();
  }

  /** Passes every outcome of the whole log to {@code action}, in order. */
  public void outcomes(Consumer<EntryOutcome> action) {
    readLog(action);
  }

  public FakeServer addServer(String id, String pool) {
    FakeServer server = new FakeServer(simulation, id, pool);
    servers.put(server.address(), server);
    return server;
  }

  /** Returns the server with the id {@code id}. */
  public FakeServer serverOf(String id) {
    return server(id + ":1");
  }

  FakeServer server(String address) {
    FakeServer server = servers.get(address);
    if (server == null) {
      throw new IllegalStateException("no server has the address " + address);
    }
    return server;
  }

  void dropAttempt(AttemptId attempt) {
    servers.values().forEach(server -> server.drop(attempt));
  }

  /** Cuts the link between two instances, or restores it. */
  public void cut(FakeInstance one, FakeInstance other, boolean cut) {
    for (String link :
        List.of(one.address() + ">" + other.address(), other.address() + ">" + one.address())) {
      if (cut) {
        cutLinks.add(link);
      } else {
        cutLinks.remove(link);
      }
    }
  }

  void send(FakeInstance sender, String address, Message message) {
    if (losesPeerMessages || cutLinks.contains(sender.address() + ">" + address)) {
      return;
    }
    Message copy = message.deepCopy();
    simulation.after(
        peerDelay,
        () -> {
          for (FakeInstance instance : instances.values()) {
            if (instance.address().equals(address)) {
              instance.deliver(new InstanceEvent.PeerMessageReceived(sender.incarnation(), copy));
            }
          }
        });
  }

  /** Returns the ledger state after reading the whole log. */
  public LedgerState ledger() {
    return readLog(entryOutcome -> {});
  }

  /** Returns how often each request was charged, by request id. */
  public Map<String, Integer> chargesByRequest() {
    Map<String, Integer> charges = new TreeMap<>();
    readLog(
        entryOutcome -> {
          if (entryOutcome.outcome() instanceof Outcome.Charged charged) {
            charges.merge(charged.request().value(), 1, Integer::sum);
          }
        });
    return charges;
  }

  private LedgerState readLog(Consumer<EntryOutcome> action) {
    LedgerFold fold = new LedgerFold(streams.of(WOOL), KeyRetention.DEFAULT, settings);
    for (LogRecord record : log.records(streams.of(WOOL))) {
      fold.fold(record).forEach(action);
    }
    return fold.state();
  }

  /** Returns the budget of team {@code wool}. */
  public AccountView budget() {
    return ledger().account(AccountId.of(WOOL)).orElseThrow();
  }

  /** Returns the number of runs on all servers. */
  public int runCount() {
    return servers.values().stream().mapToInt(FakeServer::runCount).sum();
  }

  /** Returns the tokens used by all runs, whether answered or not. A plain call costs 7. */
  public long tokensSpent() {
    long plain =
        servers.values().stream()
            .filter(server -> server.id().name().startsWith("desk"))
            .mapToLong(FakeServer::runCount)
            .sum();
    return 7 * plain + servers.values().stream().mapToLong(FakeServer::tokensSpent).sum();
  }

  /** Returns how often {@code request} ran, on all servers together. */
  public int runsOf(RequestId request) {
    return servers.values().stream()
        .mapToInt(server -> server.starts().getOrDefault(request.value(), 0))
        .sum();
  }

  /**
   * Returns the runs of each keyed request on all servers. Every keyed call in these tests is
   * non-idempotent.
   */
  public Map<String, Integer> keyedRuns() {
    Map<String, Integer> sums = new TreeMap<>();
    for (FakeServer server : servers.values()) {
      server
          .starts()
          .forEach(
              (request, count) -> {
                if (request.startsWith("k-")) {
                  sums.merge(request, count, Integer::sum);
                }
              });
    }
    return sums;
  }

  static String describe(InstanceCommand command) {
    return switch (command) {
      case InstanceCommand.SendFrame c ->
          "SendFrame " + c.call() + " " + new String(c.data(), UTF_8);
      case InstanceCommand.AnswerPlain c ->
          "AnswerPlain " + c.call() + " " + c.status() + " " + new String(c.body(), UTF_8);
      case InstanceCommand.StartAttempt c ->
          "StartAttempt %s %s %s %s"
              .formatted(c.attempt(), c.request(), c.address(), c.resumeFrom());
      case InstanceCommand.RunLogCommand c -> describe(c);
      default -> command.toString();
    };
  }

  private static String describe(InstanceCommand.RunLogCommand command) {
    return switch (command.command()) {
      case org.teaseldeal.ledger.LogCommand.Append append ->
          "Append %d %s".formatted(append.token(), HexFormat.of().formatHex(append.payload()));
      case org.teaseldeal.ledger.LogCommand.Read read -> read.toString();
    };
  }
}
