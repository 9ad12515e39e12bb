package org.teaseldeal.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.RepeatedTest;
import org.junit.jupiter.api.RepetitionInfo;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.teaseldeal.api.BackendServerId;

class SharedRateTests {
  private static final BackendServerId SERVER = new BackendServerId("server-1");
  private static final Instant START = Instant.EPOCH.plusSeconds(1_000);
  private static final Duration STEP = Duration.ofMillis(20);
  private static final Duration WINDOW = Duration.ofSeconds(4);
  private static final Duration LENGTH = Duration.ofSeconds(30);

  @ParameterizedTest
  @CsvSource({"7, 1", "7, 0.1", "67, 1", "95, 2.5", "95, 400", "3, 3", "1, 0.5"})
  void sharesAddUpToTheRate(int size, double rate) {
    Set<String> instances = names(size);
    double sum =
        instances.stream().mapToDouble(each -> SharedRate.of(SERVER, each, instances, rate)).sum();
    assertEquals(rate, sum, 1e-9);
  }

  /** Guards against a server that no instance asks any more, so that no limit would ever end. */
  @Test
  void everyInstanceHasAShareHoweverSmall() {
    Set<String> instances = names(95);
    assertTrue(
        instances.stream().allMatch(each -> SharedRate.of(SERVER, each, instances, 0.1) > 0));
  }

  @Test
  void nearlyAllOfALowRateIsOfOneInstance() {
    Set<String> instances = names(95);
    String holder = SharedRate.holders(SERVER, instances, 1).getFirst();
    assertEquals(0.95, SharedRate.of(SERVER, holder, instances, 1), 1e-9);
  }

  /**
   * Guards against instances that together send more than a server takes when all of them send as
   * much as they may, while each knows another set of instances.
   */
  @Tag("known-red")
  @RepeatedTest(200)
  void allInstancesTogetherKeepToTheRate(RepetitionInfo repetition) {
    SplittableRandom random = new SplittableRandom(repetition.getCurrentRepetition());
    int size = random.nextInt(1, 96);
    double rate = Math.exp(random.nextDouble(Math.log(0.1), Math.log(50)));
    Set<String> all = names(size);
    List<RateLimiter> limiters = new ArrayList<>();
    for (String instance : all) {
      Set<String> known = knownTo(instance, all, random);
      limiters.add(
          new RateLimiter(
              SharedRate.of(SERVER, instance, known, rate), random.nextDouble(), START));
    }
    double allowed = 1.5 * WINDOW.toSeconds() * rate + 5;
    int most = mostInWindow(limiters, random);
    assertTrue(
        most <= allowed,
        () ->
            "%d sent, allowed %.1f, %d instances, rate %.2f".formatted(most, allowed, size, rate));
  }

  /** Returns all instances without a few that have just joined. */
  private static Set<String> knownTo(String instance, Set<String> all, SplittableRandom random) {
    Set<String> known = new HashSet<>(all);
    known.removeIf(each -> !each.equals(instance) && random.nextInt(40) == 0);
    return known;
  }

  /** Lets all instances send whenever they may. */
  private static int mostInWindow(List<RateLimiter> limiters, SplittableRandom random) {
    Deque<Instant> sent = new ArrayDeque<>();
    int most = 0;
    for (Instant now = START; now.isBefore(START.plus(LENGTH)); now = now.plus(STEP)) {
      for (RateLimiter limiter : limiters) {
        if (random.nextInt(3) > 0 && limiter.hasPermit(now)) {
          limiter.take(now);
          sent.add(now);
        }
      }
      while (!sent.isEmpty() && !sent.getFirst().isAfter(now.minus(WINDOW))) {
        sent.removeFirst();
      }
      most = Math.max(most, sent.size());
    }
    return most;
  }

  private static Set<String> names(int size) {
    return Set.copyOf(IntStream.range(0, size).mapToObj(i -> "front-" + i).toList());
  }
}
