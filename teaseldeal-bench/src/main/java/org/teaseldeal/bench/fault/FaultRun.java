package org.teaseldeal.bench.fault;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.UnaryOperator;
import org.jspecify.annotations.Nullable;
import org.teaseldeal.api.ErrorKind;
import org.teaseldeal.bench.fault.HistoryEvent.Change;
import org.teaseldeal.core.InstanceDump;
import org.teaseldeal.core.event.InstanceEvent;
import org.teaseldeal.core.fake.FakeCall;
import org.teaseldeal.core.fake.FakeFleet;
import org.teaseldeal.core.fake.FakeInstance;
import org.teaseldeal.core.fake.FakeLog;
import org.teaseldeal.core.fake.FakeServer;
import org.teaseldeal.core.part.InstancePolicies;
import org.teaseldeal.ledger.AccountId;
import org.teaseldeal.ledger.entry.Entry;
import org.teaseldeal.ledger.outcome.Outcome;
import org.teaseldeal.ledger.state.AccountView;

/** Plays a plan on a fleet in virtual time and records its history. */
final class FaultRun {
  /** Longer than an engine is asked for the usage of an abandoned run. */
  private static final Duration HEALED = Duration.ofSeconds(75);

  private static final Duration WATCH = Duration.ofMillis(10);
  private static final Duration TIMEOUT = Duration.ofSeconds(8);
  private static final Duration LEAVING_FOR = Duration.ofSeconds(20);
  private static final Set<ErrorKind> FOR_TOKENS =
      EnumSet.of(ErrorKind.NO_LEASE, ErrorKind.BUDGET_EXHAUSTED);
  private static final AccountId BUDGET = AccountId.parse("wool");
  private static final List<String> SERVERS = List.of("engine-a", "engine-b", "desk-a", "desk-b");
  private static final String CRASHING_PROMPT = "prompt of crash";

  /** What the fleet's cost was beside its history. */
  record Cost(long appends, long stranded) {}

  private record Open(int number, FakeCall call, boolean taken) {}

  private final FaultPlan plan;
  private final FakeFleet fleet;
  private final History history = new History();
  private final List<FakeInstance> instances;
  private final List<Open> open = new ArrayList<>();
  private final Map<String, Long> revisions = new HashMap<>();
  private final Map<String, Long> publishedAt = new HashMap<>();
  private final Instant start;
  private int calls;
  private int operations;

  private FaultRun(FaultPlan plan, UnaryOperator<InstancePolicies> change) {
    this.plan = plan;
    fleet = FakeFleet.withBudget(plan.seed(), plan.budget(), plan.deployment().lease());
    fleet.changePolicies(change);
    fleet.addServer("desk-b", "desks");
    instances = new ArrayList<>(fleet.startReady("r1", "r2", "r3"));
    start = fleet.simulation().instant();
    history.add(new HistoryEvent.Granted(0, BUDGET.toString(), plan.budget()));
    instances.forEach(instance -> changed(instance, Change.STARTED));
  }

  /** The history of a plan and what it cost, with parts of the instances changed. */
  static Result play(FaultPlan plan, UnaryOperator<InstancePolicies> change) {
    FaultRun run = new FaultRun(plan, change);
    run.play();
    return new Result(plan, run.history, run.cost());
  }

  /** A played plan. */
  record Result(FaultPlan plan, History history, Cost cost) {}

  private void play() {
    for (CallStep step : plan.calls()) {
      fleet.simulation().after(step.at(), () -> call(step));
    }
    for (FaultStep step : plan.faults()) {
      fleet.simulation().after(step.at(), () -> strike(step));
    }
    fleet.simulation().every(WATCH, this::watch);
    fleet.simulation().run(FaultPlan.ACTIVE.plusSeconds(5));
    heal();
    fleet.simulation().run(HEALED);
    conclude();
  }

  private void call(CallStep step) {
    FakeInstance instance = instance(step.pick());
    Optional<String> key = Optional.ofNullable(step.key());
    CallStep.Service service = step.service();
    FakeCall call =
        service.model()
            ? instance.callModel("mill", service.label(), key, TIMEOUT)
            : instance.callPlain("mill", service.label(), key, TIMEOUT, key.orElse("-"));
    sent(instance, call, service.label(), step.key(), service.idempotent());
    if (step.hangUpAfter() != null) {
      int number = calls;
      fleet
          .simulation()
          .after(
              step.hangUpAfter(),
              () -> {
                if (!call.ended()) {
                  instance.disconnect(call);
                  history.add(new HistoryEvent.HungUp(now(), number));
                }
              });
    }
  }

  private void sent(
      FakeInstance instance,
      FakeCall call,
      String service,
      @Nullable String key,
      boolean idempotent) {
    calls++;
    history.add(
        new HistoryEvent.Sent(
            now(), calls, instance.incarnation().value(), service, key, idempotent));
    open.add(new Open(calls, call, instance.alive()));
  }

  private void strike(FaultStep step) {
    Map<String, Integer> stages = new TreeMap<>();
    for (FakeInstance instance : instances) {
      instance.core().dump().requests().forEach(r -> stages.merge(r.stage(), 1, Integer::sum));
    }
    history.add(
        new HistoryEvent.Struck(now(), step.kind().label(), step.lasting().toMillis(), stages));
    step.kind().strike(this, step);
  }

  /** Notes what callers and operators can see by now. */
  private void watch() {
    open.removeIf(
        each -> {
          if (each.call.ended()) {
            history.add(ended(each));
          }
          return each.call.ended();
        });
    for (FakeInstance instance : instances) {
      if (!instance.core().ready()) {
        continue;
      }
      long revision = instance.core().settingsRevision();
      String incarnation = instance.incarnation().value();
      Long before = revisions.put(incarnation, revision);
      if (before == null || before != revision) {
        history.add(new HistoryEvent.InForce(now(), incarnation, revision));
      }
    }
  }

  private HistoryEvent.Ended ended(Open each) {
    FakeCall call = each.call;
    return new HistoryEvent.Ended(
        now(),
        each.number,
        call.request().map(Object::toString).orElse(""),
        end(each),
        call.finalAnswerCount(),
        call.plainBody().map(List::of).orElseGet(call::frames),
        call.error().map(kind -> kind.label()).orElse(null),
        call.problem().map(problem -> problem.run().label()).orElse(null),
        call.error().filter(FOR_TOKENS::contains).map(kind -> freeTokens()).orElse(0L));
  }

  private static HistoryEvent.End end(Open each) {
    FakeCall call = each.call;
    if (call.usage().isPresent() || call.plainBody().isPresent()) {
      return HistoryEvent.End.WHOLE;
    }
    if (call.problem().isPresent()) {
      return call.broken() ? HistoryEvent.End.BROKEN : HistoryEvent.End.REFUSED;
    }
    return each.taken ? HistoryEvent.End.CONNECTION_LOST : HistoryEvent.End.CONNECTION_REFUSED;
  }

  /** What remains at the ledger, and what live instances hold without having reserved it. */
  private long freeTokens() {
    long idle =
        instances.stream()
            .filter(FakeInstance::alive)
            .flatMap(instance -> instance.core().dump().budgets().stream())
            .mapToLong(InstanceDump.Budget::idle)
            .sum();
    return fleet.budget().remaining() + idle;
  }

  private void heal() {
    fleet.log().down = false;
    fleet.log().losesResponses = false;
    fleet.log().oneWayDelay = Duration.ofMillis(2);
    instances.forEach(FakeInstance::resume);
  }

  private void conclude() {
    for (String name : SERVERS) {
      FakeServer server = fleet.serverOf(name);
      for (FakeServer.RunStart each : server.runStarts()) {
        long at = Duration.between(start, each.at()).toMillis();
        history.add(new HistoryEvent.Ran(at, name, each.request().value()));
      }
    }
    history.add(new HistoryEvent.Used("all", fleet.tokensSpent()));
    fleet.outcomes(
        settled -> {
          switch (settled.outcome()) {
            case Outcome.Charged charged ->
                history.add(new HistoryEvent.Charged(charged.request().value(), charged.tokens()));
            case Outcome.SettingsAccepted accepted ->
                history.add(published(settled.writer().value(), accepted.revision(), true));
            case Outcome.SettingsOutdated outdated ->
                history.add(published(settled.writer().value(), outdated.currentRevision(), false));
            default -> {}
          }
        });
    AccountView view = fleet.budget();
    history.add(
        new HistoryEvent.Balance(
            BUDGET.toString(),
            view.granted(),
            view.charged(),
            view.writtenOff(),
            view.leased(),
            view.remaining()));
  }

  private HistoryEvent.Published published(String operator, long revision, boolean accepted) {
    long at = publishedAt.getOrDefault(operator, 0L);
    return new HistoryEvent.Published(at, operator, revision, accepted);
  }

  private Cost cost() {
    AccountView view = fleet.budget();
    return new Cost(fleet.log().appends(), view.leased() + view.writtenOff());
  }

  FakeLog log() {
    return fleet.log();
  }

  FakeInstance instance(int pick) {
    return instances.get(Math.floorMod(pick, instances.size()));
  }

  FakeServer server(int pick) {
    return fleet.serverOf(SERVERS.get(Math.floorMod(pick, SERVERS.size())));
  }

  void during(FaultStep step, Runnable begin, Runnable end) {
    begin.run();
    fleet.simulation().after(step.lasting(), end);
  }

  void partition(FaultStep step) {
    FakeInstance cut = instance(step.pick());
    for (FakeInstance other : List.copyOf(instances)) {
      if (other != cut) {
        during(step, () -> fleet.cut(cut, other, true), () -> fleet.cut(cut, other, false));
      }
    }
  }

  void kill(int pick) {
    FakeInstance victim = instance(pick);
    victim.kill();
    changed(victim, Change.KILLED);
    replace(victim);
  }

  void drain(int pick) {
    FakeInstance leaving = instance(pick);
    leaving.deliver(new InstanceEvent.DrainRequested());
    changed(leaving, Change.DRAINED);
    replaceOnceStopped(leaving);
  }

  /** An operator takes a frozen instance for gone; it wakes up and goes on. */
  void retireFrozen(FaultStep step) {
    FakeInstance frozen = instance(step.pick());
    during(step, frozen::suspend, frozen::resume);
    fleet.log().write("ops", new Entry.Retire(frozen.incarnation(), "ops"));
    changed(frozen, Change.RETIRED);
    replaceOnceStopped(frozen);
  }

  private void changed(FakeInstance instance, Change change) {
    history.add(new HistoryEvent.Lifecycle(now(), instance.incarnation().value(), change));
  }

  private void replaceOnceStopped(FakeInstance instance) {
    if (!instances.contains(instance)) {
      return;
    }
    if (instance.stopped()) {
      replace(instance);
    } else {
      fleet.simulation().after(Duration.ofMillis(100), () -> replaceOnceStopped(instance));
    }
  }

  private void replace(FakeInstance instance) {
    int which = instances.indexOf(instance);
    instances.set(which, fleet.start("r" + (which + 1), "hal-nord"));
    changed(instances.get(which), Change.STARTED);
  }

  void leave(int pick) {
    // One of each pool stays, or there would be nothing to serve with.
    FakeServer server = fleet.serverOf(pick % 2 == 0 ? "engine-b" : "desk-b");
    server.leaving = true;
    history.add(new HistoryEvent.Leaving(now(), server.id().name()));
    fleet.simulation().after(LEAVING_FOR, () -> server.down = true);
  }

  void staleList(FaultStep step) {
    FakeInstance instance = instance(step.pick());
    during(step, () -> fleet.freezeListOf(instance), () -> fleet.unfreezeListOf(instance));
  }

  void crashingRequest(FaultStep step) {
    fleet.serverOf("engine-a").crashPrompt = CRASHING_PROMPT;
    fleet.serverOf("engine-b").crashPrompt = CRASHING_PROMPT;
    for (int i = 0; i < 3; i++) {
      FakeInstance instance = instance(step.pick() + i);
      FakeCall call = instance.callModel("mill", "drafts", Optional.of("crash"), TIMEOUT);
      sent(instance, call, "drafts", "crash", true);
    }
    fleet
        .simulation()
        .after(
            step.lasting(),
            () -> {
              fleet.serverOf("engine-a").down = false;
              fleet.serverOf("engine-b").down = false;
            });
  }

  void topUp(int pick) {
    long tokens = 200 + pick % 800;
    String operation = "top-up-" + ++operations;
    Entry topUp = new Entry.TopUp(BUDGET, tokens, "ops", operation);
    fleet.log().write("ops", topUp);
    // A repeat after a lost answer counts once.
    fleet.log().write("ops", topUp);
    history.add(new HistoryEvent.Granted(now(), BUDGET.toString(), tokens));
  }

  /** Two operators publish on the same base. */
  void race() {
    for (String operator : List.of("ops-a-" + ++operations, "ops-b-" + operations)) {
      publishedAt.put(operator, now());
    }
    fleet.publishFleetSettingsConcurrently("ops-a-" + operations, "ops-b-" + operations);
  }

  private long now() {
    return Duration.between(start, fleet.simulation().instant()).toMillis();
  }
}
