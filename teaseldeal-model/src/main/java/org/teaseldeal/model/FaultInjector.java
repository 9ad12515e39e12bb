package org.teaseldeal.model;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.teaseldeal.decisions.TokenHolderChoice;

/** Injects the faults of a scenario into a fleet. */
final class FaultInjector {
  private final ModelFleet fleet;
  private final LoadGenerator load;
  private final SplittableRandom random;

  FaultInjector(ModelFleet fleet, LoadGenerator load, SplittableRandom random) {
    this.fleet = fleet;
    this.load = load;
    this.random = random;
  }

  /**
   * Starts a fault at the current virtual time and schedules its end; a fault without a duration
   * has an immediate effect only.
   */
  void inject(Scenario.Fault fault) {
    switch (fault.kind()) {
      case CUT -> {
        List<String> chosen = randomSubset(fleet.instanceNames(), fault.share());
        chosen.forEach(name -> fleet.network().setPartitioned(name, true));
        fleet
            .time()
            .schedule(
                fault.lasting(),
                () -> chosen.forEach(name -> fleet.network().setPartitioned(name, false)));
      }
      case ISOLATED -> {
        List<String> chosen = randomSubset(fleet.instanceNames(), fault.share());
        chosen.forEach(name -> fleet.network().setIsolated(name, true));
        fleet
            .time()
            .schedule(
                fault.lasting(),
                () -> chosen.forEach(name -> fleet.network().setIsolated(name, false)));
      }
      case LOG_DOWN -> {
        fleet.setLogDown(true);
        fleet.time().schedule(fault.lasting(), () -> fleet.setLogDown(false));
      }
      case POWER -> randomSubset(fleet.instanceNames(), fault.share()).forEach(fleet::losePower);
      case STOP -> {
        List<String> chosen = randomSubset(fleet.instanceNames(), fault.share());
        for (int i = 0; i < chosen.size(); i++) {
          String name = chosen.get(i);
          fleet
              .time()
              .schedule(
                  fault.gap().multipliedBy(i),
                  () -> fleet.runningInstance(name).ifPresent(ModelInstance::stop));
        }
      }
      case ENGINE_CRASH ->
          randomSubset(engineNames(), fault.share())
              .forEach(name -> fleet.crashServer(fleet.server(name), fault.lasting()));
      case RELEASE -> {
        List<String> chosen = randomSubset(engineNames(), fault.share());
        for (int i = 0; i < chosen.size(); i++) {
          ModelServer engine = fleet.server(chosen.get(i));
          fleet
              .time()
              .schedule(fault.gap().multipliedBy(i), () -> fleet.replace(engine, fault.lasting()));
        }
      }
      case BURST -> {
        load.setLoadFactor(fault.factor());
        fleet.time().schedule(fault.lasting(), () -> load.setLoadFactor(1));
      }
      case HOT_CUSTOMER -> {
        load.setHotCustomerFactor(fault.factor());
        fleet.time().schedule(fault.lasting(), () -> load.setHotCustomerFactor(1));
      }
      case HOT_BEGINNING -> {
        load.setSharedPrefix(true);
        fleet.time().schedule(fault.lasting(), () -> load.setSharedPrefix(false));
      }
      case CONFIGURATIONS -> {
        for (int i = 0; i < fault.factor(); i++) {
          fleet.time().schedule(fault.gap().multipliedBy(i), fleet::publishPlan);
        }
      }
      case CRASHING_PART -> {
        CrashingPart part =
            new CrashingPart(
                "crashing-" + fault.at().toMillis(),
                fault.position(),
                fault.eventsBeforeCrash(),
                fault.gap());
        long count = Math.round(fault.factor() * fault.lasting().toMillis() / 1e3);
        for (int i = 0; i < count; i++) {
          fleet
              .time()
              .schedule(
                  fault.lasting().multipliedBy(i).dividedBy(count),
                  () -> fleet.sendCrashingRequest(part));
        }
      }
      case SKEW -> {
        fleet.setSkew(fault.share());
        fleet.time().schedule(fault.lasting(), () -> fleet.setSkew(0));
      }
      case RATE_LIMIT -> limit(randomSubset(engineNames(), fault.share()), fault);
      case PLAIN_RATE_LIMIT -> limit(randomSubset(plainNames(), fault.share()), fault);
      case LEAVE ->
          randomSubset(engineNames(), fault.share())
              .forEach(
                  name -> fleet.announceLeave(fleet.server(name), fault.lasting(), fault.gap()));
      case PAUSE -> {
        Duration pause = Duration.ofMillis(Math.round(fault.factor() * 1_000));
        randomSubset(engineNames(), fault.share())
            .forEach(name -> fleet.rejectWithPause(fleet.server(name), pause, fault.lasting()));
      }
      case SILENCE -> inTurn(fault, engine -> fleet.silenceEngine(engine, fault.lasting()));
      case FREEZE -> inTurn(fault, engine -> fleet.freezeEngine(engine, fault.lasting()));
      case HOLDER_LOST -> {
        List<String> holders =
            TokenHolderChoice.holders(load.customers().getFirst(), fleet.memberNames()).stream()
                .sorted()
                .toList();
        for (int i = 0; i < holders.size() * fault.share(); i++) {
          String name = holders.get(i);
          fleet.time().schedule(fault.gap().multipliedBy(i), () -> fleet.losePower(name));
        }
      }
    }
  }

  /** Disturbs a share of the engines, one after the other. */
  private void inTurn(Scenario.Fault fault, Consumer<ModelServer> disturbance) {
    List<String> chosen = randomSubset(engineNames(), fault.share());
    for (int i = 0; i < chosen.size(); i++) {
      ModelServer engine = fleet.server(chosen.get(i));
      fleet.time().schedule(fault.gap().multipliedBy(i), () -> disturbance.accept(engine));
    }
  }

  private void limit(List<String> names, Scenario.Fault fault) {
    for (String name : names) {
      ModelServer server = fleet.server(name);
      fleet.limitServer(server, fault.factor());
      fleet.time().schedule(fault.lasting(), () -> fleet.endLimit(server));
    }
  }

  private List<String> engineNames() {
    return fleet.serverNames().stream().filter(name -> name.startsWith("engine")).toList();
  }

  private List<String> plainNames() {
    return fleet.serverNames().stream().filter(name -> !name.startsWith("engine")).toList();
  }

  private List<String> randomSubset(List<String> all, double share) {
    List<String> remaining = new ArrayList<>(all);
    List<String> chosen = new ArrayList<>();
    long count = Math.round(all.size() * share);
    while (chosen.size() < count) {
      chosen.add(remaining.remove(random.nextInt(remaining.size())));
    }
    return chosen;
  }
}
