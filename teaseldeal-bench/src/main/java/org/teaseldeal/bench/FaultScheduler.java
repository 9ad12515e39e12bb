package org.teaseldeal.bench;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.teaseldeal.bench.demo.LoadFleet;
import org.teaseldeal.bench.scenario.FaultChange;

/** Applies a scenario's fault changes at their times. Closing it cancels the remaining changes. */
final class FaultScheduler implements AutoCloseable {
  private final ScheduledExecutorService executor =
      Executors.newSingleThreadScheduledExecutor(Thread.ofPlatform().daemon().factory());
  private final List<String> failures = new CopyOnWriteArrayList<>();

  FaultScheduler(LoadFleet fleet, List<FaultChange> steps) {
    steps.forEach(
        step ->
            executor.schedule(
                () -> change(fleet, step), step.at().toMillis(), TimeUnit.MILLISECONDS));
  }

  /** Returns the changes that failed. If there are any, the load did not follow the scenario. */
  List<String> failures() {
    return failures;
  }

  @Override
  public void close() {
    executor.shutdownNow();
  }

  private void change(LoadFleet fleet, FaultChange step) {
    try {
      fleet.change(step);
    } catch (IOException | IllegalArgumentException e) {
      failures.add(String.valueOf(e.getMessage()));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
