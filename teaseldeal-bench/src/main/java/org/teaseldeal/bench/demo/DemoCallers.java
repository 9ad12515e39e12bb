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
  private static final int MAX_RESENDS = 5;
  private static final long RESEND_DELAY_MILLIS = 500;
  private static final Duration RESEND_TIMEOUT = Duration.ofSeconds(45);
  private static final Duration POLL_INTERVAL = Duration.ofMillis(50);

  private final LoadRunner runner;
  private final String run;
  private final Map<Arrival, Sample> lastSamples = new HashMap<>();
  private final Map<Arrival, Integer> resends = new HashMap<>();
  private int pendingResends;

  DemoCallers(HttpClient client, Supplier<List<String>> balancer, String run) {
    this.runner = new LoadRunner(client, balancer, this::onSample);
    this.run = run;
  }

  /** Sends the scenario's requests and waits a limited time until no request is to be resent. */
  void send(Scenario scenario) throws InterruptedException {
    runner.run(scenario, run, "demo", progress -> {});
    long end = System.nanoTime() + RESEND_TIMEOUT.toNanos();
    while (pendingResends() > 0 && System.nanoTime() < end) {
      Thread.sleep(POLL_INTERVAL);
    }
  }

  /** Returns the number of resent requests that have not ended yet. */
  synchronized int pendingResends() {
    return pendingResends;
  }

  /** Returns the last sample of each request. */
  synchronized List<Sample> samples() {
    return new ArrayList<>(lastSamples.values());
  }

  synchronized int resends() {
    return resends.values().stream().mapToInt(Integer::intValue).sum();
  }

  private synchronized void onSample(Sample sample) {
    lastSamples.put(sample.arrival(), sample);
    int before = resends.getOrDefault(sample.arrival(), 0);
    if (!mayResend(sample) || before >= MAX_RESENDS) {
      return;
    }
    resends.put(sample.arrival(), before + 1);
    pendingResends++;
    CompletableFuture.delayedExecutor(RESEND_DELAY_MILLIS, TimeUnit.MILLISECONDS)
        .execute(() -> runner.resend(sample.arrival(), run, this::onResentSample));
  }

  private synchronized void onResentSample(Sample sample) {
    pendingResends--;
    onSample(sample);
  }

  // A refusal is a final answer, so a refused request is not resent.
  private static boolean mayResend(Sample sample) {
    boolean neverSent = sample.cause().filter("connection-not_sent"::equals).isPresent();
    boolean interrupted =
        sample.outcome() == Outcome.SILENT
            || sample.outcome() == Outcome.BROKEN
            || sample.cause().filter("already-claimed"::equals).isPresent();
    return neverSent || (interrupted && sample.arrival().flow().keyed());
  }
}
