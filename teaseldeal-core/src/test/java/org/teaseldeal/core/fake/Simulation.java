package org.teaseldeal.core.fake;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;

/**
 * Virtual time. Actions run in order of their times, and actions with the same time in the order in
 * which they were scheduled.
 */
public final class Simulation implements InstantSource {
  private record Action(Instant at, long order, Runnable effect) implements Comparable<Action> {
    @Override
    public int compareTo(Action other) {
      int byTime = at.compareTo(other.at);
      return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
  }

  private final PriorityQueue<Action> actions = new PriorityQueue<>();
  private final SplittableRandom random;
  private Instant now = Instant.parse("2026-12-02T09:00:00Z");
  private long lastOrder;

  public Simulation(long seed) {
    this.random = new SplittableRandom(seed);
  }

  @Override
  public Instant instant() {
    return now;
  }

  /** Returns a new random source, derived from the seed, for one component. */
  public RandomGenerator random() {
    return random.split();
  }

  public void after(Duration delay, Runnable effect) {
    actions.add(new Action(now.plus(delay), ++lastOrder, effect));
  }

  /** Runs {@code effect} repeatedly, without end. */
  public void every(Duration interval, Runnable effect) {
    after(
        interval,
        () -> {
          effect.run();
          every(interval, effect);
        });
  }

  /** Advances the time by {@code duration}. */
  public void run(Duration duration) {
    Instant end = now.plus(duration);
    while (!actions.isEmpty() && !actions.peek().at.isAfter(end)) {
      step();
    }
    now = end;
  }

  /**
   * Advances the time until {@code condition} holds, by {@code bound} at most, and returns whether
   * it holds.
   */
  public boolean runUntil(BooleanSupplier condition, Duration bound) {
    Instant end = now.plus(bound);
    while (!condition.getAsBoolean()) {
      if (actions.isEmpty() || actions.peek().at.isAfter(end)) {
        now = end;
        return condition.getAsBoolean();
      }
      step();
    }
    return true;
  }

  private void step() {
    Action action = actions.remove();
    now = action.at;
    action.effect.run();
  }
}
