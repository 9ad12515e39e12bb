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

/** Executes a fault plan on a simulated fleet in virtual time and records its history. */
final class FaultRun {
  /**
   * The time that the fleet runs on after all faults are cleared. It is longer than the period in
   * which an instance asks an engine for the token usage of an abandoned run.
   */
  private static final Duration RECOVERY_TIME = Duration.ofSeconds(75);

  private static final Duration OBSERVATION_INTERVAL = Duration.ofMillis(10);
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(8);
  private static final Duration LEAVE_TIME = Duration.ofSeconds(20);
  private static final Set<ErrorKind> TOKEN_REFUSALS =
      EnumSet.of(ErrorKind.NO_LEASE, ErrorKind.BUDGET_EXHAUSTED);
  private static final AccountId BUDGET = AccountId.parse("wool");
  private static final List<String> SERVERS = List.of("engine-a", "engine-b", "desk-a", "desk-b");
  private static final String CRASHING_PROMPT = "prompt of crash";

  /**
   * The costs of a run that its history does not contain.
   *
   * @param appends the number of appends to the log
   * @param stranded the tokens that are leased or written off at the end of the run
   */
  record Cost(long appends, long stranded) {}

  /**
   * A request that has not ended yet.
   *
   * @param accepted whether the instance was alive when the request was sent
   */
  private record OutstandingCall(int number, FakeCall call, boolean accepted) {}

  private final FaultPlan plan;
  private final FakeFleet fleet;
  private final History history = new History();
  private final List<FakeInstance> instances;
  private final List<OutstandingCall> outstandingCalls = new ArrayList<>();
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
    history.add(new HistoryEvent.TokensGranted(0, BUDGET.toString(), plan.budget()));
    instances.forEach(instance -> recordLifecycle(instance, Change.STARTED));
  }

  /**
   * Executes a plan.
   *
   * @param change replaces policies of the instances, for tests that expect a violated promise
   */
  static Result execute(FaultPlan plan, UnaryOperator<InstancePolicies> change) {
    FaultRun run = new FaultRun(plan, change);
    run.execute();
    return new Result(plan, run.history, run.cost());
  }

  /** The history and the costs of an executed plan. */
  record Result(FaultPlan plan, History history, Cost cost) {}

  private void execute() {
    for (CallStep step : plan.calls()) {
      fleet.simulation().after(step.at(), () -> call(step));
    }
    for (FaultStep step : plan.faults()) {
      fleet.simulation().after(step.at(), () -> injectFault(step));
    }
    fleet.simulation().every(OBSERVATION_INTERVAL, this::recordObservations);
    fleet.simulation().run(FaultPlan.ACTIVE_TIME.plusSeconds(5));
    clearFaults();
    fleet.simulation().run(RECOVERY_TIME);
    recordFinalState();
  }

  private void call(CallStep step) {
    FakeInstance instance = instance(step.instanceIndex());
    Optional<String> key = Optional.ofNullable(step.key());
    CallStep.Service service = step.service();
    FakeCall call =
        service.model()
            ? instance.callModel("mill", service.label(), key, CALL_TIMEOUT)
            : instance.callPlain("mill", service.label(), key, CALL_TIMEOUT, key.orElse("-"));
    recordSent(instance, call, service.label(), step.key(), service.idempotent());
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

  private void recordSent(
      FakeInstance instance,
      FakeCall call,
      String service,
      @Nullable String key,
      boolean idempotent) {
    calls++;
    history.add(
        new HistoryEvent.Sent(
            now(), calls, instance.incarnation().value(), service, key, idempotent));
    outstandingCalls.add(new OutstandingCall(calls, call, instance.alive()));
  }

  private void injectFault(FaultStep step) {
    Map<String, Integer> stages = new TreeMap<>();
    for (FakeInstance instance : instances) {
      instance.core().dump().requests().forEach(r -> stages.merge(r.stage(), 1, Integer::sum));
    }
    history.add(
        new HistoryEvent.FaultInjected(
            now(), step.kind().label(), step.duration().toMillis(), stages));
    step.kind().inject(this, step);
  }

  /**
   * Records the requests that have ended and the settings revisions that have taken effect since
   * the last observation.
   */
  private void recordObservations() {
    outstandingCalls.removeIf(
        each -> {
          if (each.call.ended()) {
            history.add(endedEvent(each));
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
        history.add(new HistoryEvent.RevisionInForce(now(), incarnation, revision));
      }
    }
  }

  private HistoryEvent.Ended endedEvent(OutstandingCall each) {
    FakeCall call = each.call;
    return new HistoryEvent.Ended(
        now(),
        each.number,
        call.request().map(Object::toString).orElse(""),
        endOf(each),
        call.finalAnswerCount(),
        call.plainBody().map(List::of).orElseGet(call::frames),
        call.error().map(kind -> kind.label()).orElse(null),
        call.problem().map(problem -> problem.run().label()).orElse(null),
        call.error().filter(TOKEN_REFUSALS::contains).map(kind -> freeTokens()).orElse(0L));
  }

  private static HistoryEvent.End endOf(OutstandingCall each) {
    FakeCall call = each.call;
    if (call.usage().isPresent() || call.plainBody().isPresent()) {
      return HistoryEvent.End.WHOLE;
    }
    if (call.problem().isPresent()) {
      return call.broken() ? HistoryEvent.End.BROKEN : HistoryEvent.End.REFUSED;
    }
    return each.accepted ? HistoryEvent.End.CONNECTION_LOST : HistoryEvent.End.CONNECTION_REFUSED;
  }

  /**
   * Returns the sum of the tokens that remain in the ledger and the leased tokens that live
   * instances have not reserved.
   */
  private long freeTokens() {
    long idle =
        instances.stream()
            .filter(FakeInstance::alive)
            .flatMap(instance -> instance.core().dump().budgets().stream())
            .mapToLong(InstanceDump.Budget::idle)
            .sum();
    return fleet.budget().remaining() + idle;
  }

  private void clearFaults() {
    fleet.log().down = false;
    fleet.log().losesResponses = false;
    fleet.log().oneWayDelay = Duration.ofMillis(2);
    instances.forEach(FakeInstance::resume);
  }

  private void recordFinalState() {
    for (String name : SERVERS) {
      FakeServer server = fleet.serverOf(name);
      for (FakeServer.RunStart each : server.runStarts()) {
        long at = Duration.between(start, each.at()).toMillis();
        history.add(new HistoryEvent.RunStarted(at, name, each.request().value()));
      }
    }
    history.add(new HistoryEvent.TokensUsed("all", fleet.tokensSpent()));
    fleet.outcomes(
        entry -> {
          switch (entry.outcome()) {
            case Outcome.Charged charged ->
                history.add(new HistoryEvent.Charged(charged.request().value(), charged.tokens()));
            case Outcome.SettingsAccepted accepted ->
                history.add(published(entry.writer().value(), accepted.revision(), true));
            case Outcome.SettingsOutdated outdated ->
                history.add(published(entry.writer().value(), outdated.currentRevision(), false));
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

  private HistoryEvent.SettingsPublished published(
      String operator, long revision, boolean accepted) {
    long at = publishedAt.getOrDefault(operator, 0L);
    return new HistoryEvent.SettingsPublished(at, operator, revision, accepted);
  }

  private Cost cost() {
    AccountView view = fleet.budget();
    return new Cost(fleet.log().appends(), view.leased() + view.writtenOff());
  }

  FakeLog log() {
    return fleet.log();
  }

  FakeInstance instance(int index) {
    return instances.get(Math.floorMod(index, instances.size()));
  }

  FakeServer server(int index) {
    return fleet.serverOf(SERVERS.get(Math.floorMod(index, SERVERS.size())));
  }

  void applyForDuration(FaultStep step, Runnable begin, Runnable end) {
    begin.run();
    fleet.simulation().after(step.duration(), end);
  }

  void partition(FaultStep step) {
    FakeInstance isolated = instance(step.targetIndex());
    for (FakeInstance other : List.copyOf(instances)) {
      if (other != isolated) {
        applyForDuration(
            step, () -> fleet.cut(isolated, other, true), () -> fleet.cut(isolated, other, false));
      }
    }
  }

  void kill(int index) {
    FakeInstance victim = instance(index);
    victim.kill();
    recordLifecycle(victim, Change.KILLED);
    replace(victim);
  }

  void drain(int index) {
    FakeInstance leaving = instance(index);
    leaving.deliver(new InstanceEvent.DrainRequested());
    recordLifecycle(leaving, Change.DRAINED);
    replaceOnceStopped(leaving);
  }

  /**
   * Suspends an instance, lets an operator retire it as if it had ended, and resumes it after the
   * fault's duration.
   */
  void retireWhileSuspended(FaultStep step) {
    FakeInstance suspended = instance(step.targetIndex());
    applyForDuration(step, suspended::suspend, suspended::resume);
    fleet.log().write("ops", new Entry.Retire(suspended.incarnation(), "ops"));
    recordLifecycle(suspended, Change.RETIRED);
    replaceOnceStopped(suspended);
  }

  private void recordLifecycle(FakeInstance instance, Change change) {
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
    int index = instances.indexOf(instance);
    instances.set(index, fleet.start("r" + (index + 1), "hal-nord"));
    recordLifecycle(instances.get(index), Change.STARTED);
  }

  void beginServerRemoval(int index) {
    // One server of each pool stays, because otherwise no server could run requests.
    FakeServer server = fleet.serverOf(index % 2 == 0 ? "engine-b" : "desk-b");
    server.leaving = true;
    history.add(new HistoryEvent.ServerLeaving(now(), server.id().name()));
    fleet.simulation().after(LEAVE_TIME, () -> server.down = true);
  }

  void freezePlatformList(FaultStep step) {
    FakeInstance instance = instance(step.targetIndex());
    applyForDuration(
        step, () -> fleet.freezeListOf(instance), () -> fleet.unfreezeListOf(instance));
  }

  void sendCrashingRequest(FaultStep step) {
    fleet.serverOf("engine-a").crashPrompt = CRASHING_PROMPT;
    fleet.serverOf("engine-b").crashPrompt = CRASHING_PROMPT;
    for (int i = 0; i < 3; i++) {
      FakeInstance instance = instance(step.targetIndex() + i);
      FakeCall call = instance.callModel("mill", "drafts", Optional.of("crash"), CALL_TIMEOUT);
      recordSent(instance, call, "drafts", "crash", true);
    }
    fleet
        .simulation()
        .after(
            step.duration(),
            () -> {
              fleet.serverOf("engine-a").down = false;
              fleet.serverOf("engine-b").down = false;
            });
  }

  void topUp(int index) {
    long tokens = 200 + index % 800;
    String operation = "top-up-" + ++operations;
    Entry topUp = new Entry.TopUp(BUDGET, tokens, "ops", operation);
    fleet.log().write("ops", topUp);
    // Writes the top-up twice, as an operator does whose first answer was lost. It must count once.
    fleet.log().write("ops", topUp);
    history.add(new HistoryEvent.TokensGranted(now(), BUDGET.toString(), tokens));
  }

  /** Lets two operators publish settings on the same base revision at the same time. */
  void publishConcurrently() {
    for (String operator : List.of("ops-a-" + ++operations, "ops-b-" + operations)) {
      publishedAt.put(operator, now());
    }
    fleet.publishFleetSettingsConcurrently("ops-a-" + operations, "ops-b-" + operations);
  }

  private long now() {
    return Duration.between(start, fleet.simulation().instant()).toMillis();
  }
}
