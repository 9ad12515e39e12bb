package org.teaseldeal.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.teaseldeal.api.BackendServerId;

/**
 * The load: engines that take 1/0.6, 1 and 1/1.6 times an average engine's time, each of them 2.5
 * times slower for 15 in 100 of the time, and prompts of some hundred to 20,000 tokens.
 */
class EngineRatesTests {
  private static final double[] SPEEDS = {0.6, 1.0, 1.6};
  private static final double BASE_MILLIS = 8;

  /** The mean time of the engines above, slow moments included, over that at speed 1. */
  private static final double MEAN_SLOWDOWN = (1 / 0.6 + 1 + 1 / 1.6) / 3 * (1 + 0.15 * 1.5);

  private final Random random = new Random(7);
  private final EngineRates rates = new EngineRates();

  @Test
  void countsEveryEngineAsAverageBeforeTheFirstAnswer() {
    assertEquals(1, rates.factor(engine(0)));
    assertEquals(100, rates.readMillis(6_000), 1e-9);
    assertEquals(105, rates.firstTokenMillis(6_000, 10), 1e-9);
  }

  /** Guards against rates that stay at the assumed ones while engines read twice as fast. */
  @Test
  void learnsHowFastPromptsAreRead() {
    observe(300, 101, 0.4);
    assertEquals(MEAN_SLOWDOWN * 1_000 / 101, rates.readMillis(1_000), 2);
  }

  @Test
  void learnsThatEnginesReadSlower() {
    observe(300, 30, 0.4);
    assertEquals(MEAN_SLOWDOWN * 1_000 / 30, rates.readMillis(1_000), 5);
  }

  /** Guards against a slow engine that gets as many prompts as a fast one. */
  @Test
  void tellsSlowEnginesFromFastOnesAfterFewAnswers() {
    observe(3 * 6, 101, 0.4);
    double slow = rates.factor(engine(0));
    double fast = rates.factor(engine(2));
    assertTrue(slow > 1.3 * fast, "factors were %.2f and %.2f".formatted(slow, fast));
  }

  @Test
  void estimatesTheRatioOfSpeedsAfterManyAnswers() {
    observe(600, 101, 0.4);
    double ratio = rates.factor(engine(0)) / rates.factor(engine(2));
    assertEquals(1.6 / 0.6, ratio, 0.8);
  }

  /** Guards against an engine that counts as slow for long because it stood still once. */
  @Test
  void changesLittleBySingleSlowAnswers() {
    observe(300, 101, 0.4);
    double factor = rates.factor(engine(1));
    double read = rates.readMillis(10_000);
    rates.onFirstToken(engine(1), Duration.ofSeconds(30), 0, 6_000, 3);
    assertTrue(rates.factor(engine(1)) < 1.25 * factor);
    assertTrue(rates.readMillis(10_000) < 1.25 * read);
  }

  /**
   * Guards against rates that are too low because others' prompts are partly read when an instance
   * hears of them.
   */
  @Test
  void learnsLittleFromPromptsBehindOthers() {
    observe(300, 101, 0.4);
    double read = rates.readMillis(1_000);
    for (int i = 0; i < 100; i++) {
      rates.onFirstToken(engine(1), Duration.ofMillis(20), 30_000, 1_000, 3);
    }
    assertEquals(read, rates.readMillis(1_000), 0.2 * read);
  }

  /** Guards against rates without end or below 0 if all observations are alike. */
  @Test
  void staysWithinBoundsIfAllAnswersAreAlike() {
    for (int i = 0; i < 2_000; i++) {
      rates.onFirstToken(engine(0), Duration.ZERO, 0, 0, 0);
      rates.onFirstToken(engine(1), Duration.ofHours(1), 0, 0, 0);
    }
    double millis = rates.firstTokenMillis(10_000, 10) * rates.factor(engine(0));
    assertTrue(millis > 0 && millis < 10_000, "expected was " + millis);
  }

  @Test
  void forgetsEnginesThatAreGone() {
    observe(300, 101, 0.4);
    rates.forget(engine(0));
    rates.retain(Set.of(engine(0), engine(1)));
    assertEquals(1, rates.factor(engine(0)));
    assertEquals(1, rates.factor(engine(2)));
  }

  @Test
  void waitsForAPlaceOnlyAtAFullEngine() {
    rates.onEnded(Duration.ofMillis(800));
    assertEquals(0, rates.placeMillis(15, 16));
    assertEquals(50, rates.placeMillis(16, 16), 1e-9);
    assertEquals(100, rates.placeMillis(17, 16), 1e-9);
  }

  private void observe(int answers, double tokensPerMilli, double perRunning) {
    for (int i = 0; i < answers; i++) {
      int which = i % SPEEDS.length;
      long tokens = 200 + random.nextInt(20_000);
      int running = random.nextInt(12);
      double slowed = random.nextDouble() < 0.15 ? 2.5 : 1;
      double millis =
          (BASE_MILLIS + tokens / tokensPerMilli + running * perRunning) * slowed / SPEEDS[which];
      rates.onFirstToken(
          engine(which), Duration.ofNanos((long) (millis * 1e6)), 0, tokens, running);
    }
  }

  private static BackendServerId engine(int number) {
    return new BackendServerId("e" + number);
  }
}
