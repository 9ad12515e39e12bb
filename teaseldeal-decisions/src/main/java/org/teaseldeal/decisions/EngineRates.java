package org.teaseldeal.decisions;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.teaseldeal.api.BackendServerId;
import org.teaseldeal.api.Preconditions;

/**
 * Estimates from observed answers how long each engine of a service takes to a first token.
 *
 * <p>Engines of one service may differ in speed by a factor of two to three, be slowed down for
 * moments, and read a prompt faster or slower than those of another service. If all were taken as
 * equally fast, slow engines would get as many prompts as fast ones, and prompts would wait there
 * while fast engines are idle.
 *
 * <p>The time to the first token is modelled as {@code factor × (base + read × tokens + running ×
 * requests)}. The three rates are fitted for all engines together, by weighted least squares with
 * older observations fading out; the factor is fitted for each engine. An instance sees few answers
 * of each engine but many of all, so it soon knows the rates, and an engine without observations
 * counts as average. Observations far from the expectation are cut to a multiple of it, so that
 * moments in which an engine stands still change little.
 *
 * <p>Reading an estimate takes no memory.
 */
public final class EngineRates {
  private static final double THOUSAND = 1_000;

  /** The rates that are assumed before the first observation, in milliseconds. */
  private static final double FIRST_READ_PER_THOUSAND = THOUSAND / 60;

  private static final double FIRST_PER_RUNNING = 0.5;

  /** How far the real rates may well be from the first ones, in milliseconds. */
  private static final double BASE_SPREAD = 10;

  private static final double READ_SPREAD = 10;
  private static final double RUNNING_SPREAD = 0.5;

  /** The spread of an observation: a fixed part and a fraction of the expectation. */
  private static final double NOISE_MILLIS = 5;

  private static final double NOISE_FRACTION = 0.3;

  /** The weight of the older observations after a new one. */
  private static final double KEPT_WEIGHT = 0.995;

  /** How many times its expectation an observation may count as at most. */
  private static final double MAX_RATIO = 3;

  /** Added to the expectation before the comparison, so that short times aren't cut to nothing. */
  private static final double CUT_SLACK_MILLIS = 20;

  private static final double MAX_BASE = 200;
  private static final double MIN_READ_PER_THOUSAND = 0.5;
  private static final double MAX_READ_PER_THOUSAND = 200;
  private static final double MAX_PER_RUNNING = 20;

  /** The number of observations that the assumption of an average engine counts as. */
  private static final double AVERAGE_WEIGHT = 2;

  /** The largest weight of an engine's observations, so that a change of its speed is seen. */
  private static final double MAX_ENGINE_WEIGHT = 12;

  /** Times below this say little of an engine, as the way to it takes as long. */
  private static final double TELLING_MILLIS = 20;

  /** The weight of a new observation in the mean time of a request. */
  private static final double HOLD_STEP = 0.05;

  private static final class Engine {
    private double weight;
    private double ratioSum;
    private double factor = 1;
  }

  private final Map<BackendServerId, Engine> engines = new HashMap<>();

  // The weighted sums of the normal equations for (base, read per thousand, running).
  private double sum;
  private double sumRead;
  private double sumRunning;
  private double sumReadRead;
  private double sumReadRunning;
  private double sumRunningRunning;
  private double sumTime;
  private double sumReadTime;
  private double sumRunningTime;

  private double base;
  private double readPerThousand = FIRST_READ_PER_THOUSAND;
  private double perRunning = FIRST_PER_RUNNING;
  private double holdMillis;
  private long observations;

  /**
   * Records the first token of an answer.
   *
   * @param took time from the sending of the request
   * @param ahead prompt tokens of other requests that the engine presumably had to read before
   * @param uncached tokens of the request's prompt that it presumably had to read
   * @param running number of requests that ran there when the request was sent
   */
  public void onFirstToken(
      BackendServerId id, Duration took, long ahead, long uncached, int running) {
    Preconditions.requireNotNegative(ahead, "tokens ahead");
    Preconditions.requireNotNegative(uncached, "uncached tokens");
    Preconditions.requireNotNegative(running, "running");
    Engine engine = engines.computeIfAbsent(id, key -> new Engine());
    long tokens = ahead + uncached;
    double known = tokens == 0 ? 1 : (double) uncached / tokens;
    double expected = average(tokens, running);
    double most = MAX_RATIO * engine.factor * expected + CUT_SLACK_MILLIS;
    double millis = Math.min(took.toNanos() / 1e6, most);
    fit(millis, tokens / THOUSAND, running, expected, known * known);
    compare(engine, millis, Math.max(1, average(tokens, running)), known);
    observations++;
  }

  /** Records how long a request was at its engine, from its sending to the end of its answer. */
  public void onEnded(Duration took) {
    double millis = took.toNanos() / 1e6;
    holdMillis = holdMillis == 0 ? millis : holdMillis + HOLD_STEP * (millis - holdMillis);
  }

  /** Drops what is known of an engine that has restarted. */
  public void forget(BackendServerId id) {
    engines.remove(id);
  }

  /** Drops what is known of engines that aren't listed any more. */
  public void retain(Set<BackendServerId> listed) {
    engines.keySet().retainAll(listed);
  }

  /** Returns how many times an average engine's time this engine takes; 1 if it isn't known. */
  public double factor(BackendServerId id) {
    Engine engine = engines.get(id);
    return engine == null ? 1 : engine.factor;
  }

  /** Returns the milliseconds in which an average engine reads {@code tokens} of a prompt. */
  public double readMillis(long tokens) {
    return tokens * readPerThousand / THOUSAND;
  }

  /**
   * Returns the milliseconds to the first token at an average engine.
   *
   * @param tokens prompt tokens that are to be read before it, those of the request included
   * @param running number of requests that run there
   */
  public double firstTokenMillis(long tokens, int running) {
    return average(tokens, running);
  }

  /**
   * Returns the milliseconds that a request waits for a place at an average engine.
   *
   * @param running number of requests that are there
   * @param places number of requests that it runs at once
   */
  public double placeMillis(int running, int places) {
    return running < places ? 0 : holdMillis * (running - places + 1) / places;
  }

  /** Returns the number of first tokens that were recorded. */
  public long observations() {
    return observations;
  }

  private double average(long tokens, int running) {
    return base + tokens * readPerThousand / THOUSAND + running * perRunning;
  }

  private void fit(double millis, double thousands, int running, double expected, double known) {
    double spread = NOISE_MILLIS + NOISE_FRACTION * expected;
    double weight = known / (spread * spread);
    sum = sum * KEPT_WEIGHT + weight;
    sumRead = sumRead * KEPT_WEIGHT + weight * thousands;
    sumRunning = sumRunning * KEPT_WEIGHT + weight * running;
    sumReadRead = sumReadRead * KEPT_WEIGHT + weight * thousands * thousands;
    sumReadRunning = sumReadRunning * KEPT_WEIGHT + weight * thousands * running;
    sumRunningRunning = sumRunningRunning * KEPT_WEIGHT + weight * running * running;
    sumTime = sumTime * KEPT_WEIGHT + weight * millis;
    sumReadTime = sumReadTime * KEPT_WEIGHT + weight * thousands * millis;
    sumRunningTime = sumRunningTime * KEPT_WEIGHT + weight * running * millis;
    solve();
  }

  /** Solves the normal equations, with the first rates as one more observation of each rate. */
  private void solve() {
    double priorRead = 1 / (READ_SPREAD * READ_SPREAD);
    double priorRunning = 1 / (RUNNING_SPREAD * RUNNING_SPREAD);
    double a = sum + 1 / (BASE_SPREAD * BASE_SPREAD);
    double d = sumReadRead + priorRead;
    double f = sumRunningRunning + priorRunning;
    double v = sumReadTime + priorRead * FIRST_READ_PER_THOUSAND;
    double w = sumRunningTime + priorRunning * FIRST_PER_RUNNING;
    // The matrix [a b c; b d e; c e f] is positive definite, so elimination needs no pivoting.
    double lowerB = sumRead / a;
    double lowerC = sumRunning / a;
    double d1 = d - lowerB * sumRead;
    double e1 = sumReadRunning - lowerB * sumRunning;
    double f1 = f - lowerC * sumRunning;
    double v1 = v - lowerB * sumTime;
    double w1 = w - lowerC * sumTime;
    double lowerE = e1 / d1;
    perRunning = Math.clamp((w1 - lowerE * v1) / (f1 - lowerE * e1), 0, MAX_PER_RUNNING);
    readPerThousand =
        Math.clamp((v1 - e1 * perRunning) / d1, MIN_READ_PER_THOUSAND, MAX_READ_PER_THOUSAND);
    base =
        Math.clamp(
            (sumTime - sumRead * readPerThousand - sumRunning * perRunning) / a, 0, MAX_BASE);
  }

  private static void compare(Engine engine, double millis, double expected, double known) {
    double telling = known * expected / (expected + TELLING_MILLIS);
    double ratio = Math.clamp(millis / expected, 1 / MAX_RATIO, MAX_RATIO);
    double kept = Math.min(1, (MAX_ENGINE_WEIGHT - telling) / Math.max(engine.weight, 1));
    engine.weight = engine.weight * kept + telling;
    engine.ratioSum = engine.ratioSum * kept + telling * ratio;
    engine.factor = (engine.ratioSum + AVERAGE_WEIGHT) / (engine.weight + AVERAGE_WEIGHT);
  }
}
