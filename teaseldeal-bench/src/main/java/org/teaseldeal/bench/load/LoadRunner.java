package org.teaseldeal.bench.load;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.teaseldeal.api.Preconditions;
import org.teaseldeal.bench.scenario.Scenario;
import org.teaseldeal.net.HttpClient;

/**
 * Sends the requests of a scenario to entry instances in round-robin order, like a load balancer.
 *
 * <p>The load is an open loop: each request is sent when it is due, whether or not earlier requests
 * were answered. Latencies count from the due time.
 */
public final class LoadRunner {
  private static final long SPIN_NANOS = TimeUnit.MICROSECONDS.toNanos(100);

  private final HttpClient client;
  private final Supplier<List<String>> balancer;
  private final Consumer<Sample> observer;
  private final AtomicInteger nextAddressIndex = new AtomicInteger();

  /** Creates a runner that sends to {@code addresses}, each {@code host:port}. */
  public LoadRunner(HttpClient client, List<String> addresses) {
    this(client, fixed(addresses), sample -> {});
  }

  /**
   * Creates a runner.
   *
   * @param balancer supplies the addresses that currently accept requests, each {@code host:port};
   *     the list is never empty
   * @param observer receives the sample of each request, on several threads
   */
  public LoadRunner(HttpClient client, Supplier<List<String>> balancer, Consumer<Sample> observer) {
    this.client = client;
    this.balancer = balancer;
    this.observer = observer;
  }

  /**
   * Runs the scenario to its end and waits a limited time for the last answers.
   *
   * @param run a name that makes the keys and prompts of this run differ from those of other runs
   * @param progress receives a summary of the progress once a second
   */
  public LoadResult run(Scenario scenario, String run, String label, Consumer<String> progress)
      throws InterruptedException {
    List<Arrival> arrivals = ArrivalSchedule.of(scenario);
    LoadRecorder recorder = new LoadRecorder();
    long start = System.nanoTime();
    long nextReport = start;
    for (Arrival arrival : arrivals) {
      long due = start + arrival.due().toNanos();
      sleepUntil(due);
      recorder.onSent(Duration.ofNanos(Math.max(0, System.nanoTime() - due)));
      send(
          arrival,
          run,
          due,
          sample -> {
            recorder.add(sample);
            observer.accept(sample);
          });
      if (due >= nextReport) {
        progress.accept("%3d s: %s".formatted((due - start) / 1_000_000_000, recorder.progress()));
        nextReport += TimeUnit.SECONDS.toNanos(1);
      }
    }
    waitForAnswers(scenario, arrivals.size(), recorder);
    return recorder.result(scenario, label);
  }

  /** Sends a request of a run again with the same key, like a caller that got no answer. */
  public void resend(Arrival arrival, String run, Consumer<Sample> done) {
    send(arrival, run, System.nanoTime(), done);
  }

  private void send(Arrival arrival, String run, long due, Consumer<Sample> done) {
    List<String> addresses = balancer.get();
    String address =
        addresses.get(Math.floorMod(nextAddressIndex.getAndIncrement(), addresses.size()));
    CallerRequest request = CallerRequest.of(arrival, run, address);
    AnswerListener watch =
        new AnswerListener(arrival, request.prompt(), due, System::nanoTime, done);
    client.send(request.http(), watch);
  }

  private static Supplier<List<String>> fixed(List<String> addresses) {
    Preconditions.require(!addresses.isEmpty(), "addresses were none, expected at least one");
    List<String> copy = List.copyOf(addresses);
    return () -> copy;
  }

  private static void waitForAnswers(Scenario scenario, int sent, LoadRecorder recorder)
      throws InterruptedException {
    Duration longest =
        scenario.flows().stream()
            .map(AnswerListener::maxWait)
            .max(Duration::compareTo)
            .orElse(Duration.ZERO);
    long until = System.nanoTime() + longest.toNanos();
    while (recorder.count() < sent && System.nanoTime() < until) {
      Thread.sleep(20);
    }
  }

  private static void sleepUntil(long nanos) {
    for (long rest = nanos - System.nanoTime(); rest > 0; rest = nanos - System.nanoTime()) {
      if (rest > SPIN_NANOS) {
        LockSupport.parkNanos(rest - SPIN_NANOS / 2);
      } else {
        Thread.onSpinWait();
      }
    }
  }
}
