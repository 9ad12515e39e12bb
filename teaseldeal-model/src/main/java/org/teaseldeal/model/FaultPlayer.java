package org.teaseldeal.model;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.teaseldeal.decisions.TokenHolderChoice;

/** Does to a fleet what a scenario says. */
final class FaultPlayer {
  private final ModelFleet fleet;
  private final LoadSource load;
  private final SplittableRandom random;

  FaultPlayer(ModelFleet fleet, LoadSource load, SplittableRandom random) {
    this.fleet = fleet;
    this.load = load;
    this.random = random;
  }

  /** Begins a fault now; it ends by itself. */
  void begin(Scenario.Fault fault) {
    switch (fault.kind()) {
      case CUT -> {
        List<String> some = some(fleet.instanceNames(), fault.share());
        some.forEach(name -> fleet.network().cut(name, true));
        fleet
            .time()
            .after(fault.lasting(), () -> some.forEach(name -> fleet.network().cut(name, false)));
      }
      case ISOLATED -> {
        List<String> some = some(fleet.instanceNames(), fault.share());
        some.forEach(name -> fleet.network().isolate(name, true));
        fleet
            .time()
            .after(
                fault.lasting(), () -> some.forEach(name -> fleet.network().isolate(name, false)));
      }
      case LOG_DOWN -> {
        fleet.log().down(true);
        fleet.time().after(fault.lasting(), () -> fleet.log().down(false));
      }
      case POWER -> some(fleet.instanceNames(), fault.share()).forEach(fleet::power);
      case STOP -> {
        List<String> some = some(fleet.instanceNames(), fault.share());
        for (int i = 0; i < some.size(); i++) {
          String name = some.get(i);
          fleet
              .time()
              .after(
                  fault.gap().multipliedBy(i),
                  () -> fleet.running(name).ifPresent(ModelInstance::stop));
        }
      }
      case ENGINE_CRASH ->
          some(
                  fleet.serverNames().stream().filter(name -> name.startsWith("engine")).toList(),
                  fault.share())
              .forEach(name -> fleet.crash(fleet.server(name), fault.lasting()));
      case BURST -> {
        load.factor(fault.factor());
        fleet.time().after(fault.lasting(), () -> load.factor(1));
      }
      case HOT_CUSTOMER -> {
        load.hotCustomer(fault.factor());
        fleet.time().after(fault.lasting(), () -> load.hotCustomer(1));
      }
      case HOT_BEGINNING -> {
        load.hotBeginning(true);
        fleet.time().after(fault.lasting(), () -> load.hotBeginning(false));
      }
      case CONFIGURATIONS -> {
        for (int i = 0; i < fault.factor(); i++) {
          fleet.time().after(fault.gap().multipliedBy(i), fleet::publish);
        }
      }
      case HOLDER_LOST -> {
        List<String> holders =
            TokenHolderChoice.holders(load.customers().getFirst(), fleet.names()).stream()
                .sorted()
                .toList();
        for (int i = 0; i < holders.size() * fault.share(); i++) {
          String name = holders.get(i);
          fleet.time().after(fault.gap().multipliedBy(i), () -> fleet.power(name));
        }
      }
    }
  }

  private List<String> some(List<String> all, double share) {
    List<String> left = new ArrayList<>(all);
    List<String> chosen = new ArrayList<>();
    long count = Math.round(all.size() * share);
    while (chosen.size() < count) {
      chosen.add(left.remove(random.nextInt(left.size())));
    }
    return chosen;
  }
}
