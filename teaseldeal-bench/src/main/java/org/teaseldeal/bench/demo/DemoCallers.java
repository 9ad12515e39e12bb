package org.teaseldeal.bench.demo;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.teaseldeal.bench.load.Arrival;
import org.teaseldeal.bench.load.LoadRunner;
import org.teaseldeal.bench.load.Outcome;
import org.teaseldeal.bench.load.Sample;
import org.teaseldeal.bench.scenario.Scenario;
import org.teaseldeal.net.HttpClient;

/**
 * The callers of the demo. Each caller sends its request when it is due. It resends a request that
 * has an idempotency key, with the same key, if the connection broke before the answer was
 * complete.
 *
 * <p>A caller also resends a request that could not be sent, because such a request cannot have
 * been run.
 */
final class DemoCallers {
  private static final int MAX_REPEATS = 5;
  private static final long REPEAT_AFTER_MILLIS = 500;
  private static final Duration REPEATS_BOUND = Duration.ofSeconds(45);
  private static final Duration POLL = Duration.ofMillis(50);

  private final LoadRunner runner;
  private final String run;
  private final Map<Arrival, Sample> lastSamples = new HashMap<>();
  private final Map<Arrival, Integer> repeats = new HashMap<>();
  private int waiting;

  DemoCallers(HttpClient client, Supplier<List<String>> balancer, String run) {
    this.runner = new LoadRunner(client, balancer, this::onSample);
    this.run = run;
  }

  /** Sends the scenario's requests and waits a limited time until no request is to be resent. */
  void play(Scenario scenario) throws InterruptedException {
    runner.run(scenario, run, "demo", progress -> {});
    long end = System.nanoTime() + REPEATS_BOUND.toNanos();
    while (waiting() > 0 && System.nanoTime() < end) {
      Thread.sleep(POLL);
    }
  }

  /** Returns the number of resent requests that have not ended yet. */
  synchronized int waiting() {
    return waiting;
  }

  /** Returns the last sample of each request. */
  synchronized List<Sample> samples() {
    return new ArrayList<>(lastSamples.values());
  }

  synchronized int repeats() {
    return repeats.values().stream().mapToInt(Integer::intValue).sum();
  }

  private synchronized void onSample(Sample sample) {
    lastSamples.put(sample.arrival(), sample);
    int before = repeats.getOrDefault(sample.arrival(), 0);
    if (!mayRepeat(sample) || before >= MAX_REPEATS) {
      return;
    }
    repeats.put(sample.arrival(), before + 1);
    waiting++;
    CompletableFuture.delayedExecutor(REPEAT_AFTER_MILLIS, TimeUnit.MILLISECONDS)
        .execute(() -> runner.resend(sample.arrival(), run, this::onRepeated));
  }

  private synchronized void onRepeated(Sample sample) {
    waiting--;
    onSample(sample);
  }

  // A refusal is a final answer, so a refused request is not resent.
  private static boolean mayRepeat(Sample sample) {
    boolean neverSent = sample.cause().filter("connection-not_sent"::equals).isPresent();
    boolean interrupted =
        sample.outcome() == Outcome.SILENT
            || sample.outcome() == Outcome.BROKEN
            || sample.cause().filter("already-claimed"::equals).isPresent();
    return neverSent || (interrupted && sample.arrival().flow().keyed());
  }
}
