package org.teaseldeal.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Tests under the load of a data centre whose load balancer sends most callers to one of its
 * instances.
 */
class HandoverPolicyTests {
  private static final Duration AIM = Duration.ofMillis(400);
  private static final List<String> SIBLINGS = List.of("a:1", "b:1", "c:1", "d:1", "e:1", "f:1");

  private final HandoverPolicy policy = new HandoverPolicy(new Random(1));
  private Instant now = Instant.EPOCH.plusSeconds(60);

  /** A request waits for the loop to be read, to be sent, and for its answer: three delays. */
  @Test
  void keepsRequestsWhileTheirWaitsAreWithinAnEighthOfTheAim() {
    assertFalse(policy.isHeldUp(Duration.ofMillis(16), AIM));
    assertTrue(policy.isHeldUp(Duration.ofMillis(17), AIM));
  }

  @Test
  void choosesNoInstanceThatWasNeverHeardOf() {
    policy.instancesToAsk(SIBLINGS, now);
    assertEquals(Optional.empty(), policy.choose(Set.of(), now));
  }

  /**
   * All instances are cut off from each other for eight seconds, and no question is answered. From
   * a second after the last answer on each instance keeps its requests.
   */
  @Test
  void keepsRequestsWhileCutOffFromAllOthers() {
    answerAll();
    assertTrue(policy.choose(Set.of(), now).isPresent());
    for (int i = 0; i < 70; i++) {
      now = now.plusMillis(100);
      policy.instancesToAsk(SIBLINGS, now);
      boolean kept = policy.choose(Set.of(), now).isEmpty();
      assertTrue(
          kept || i < 9, "chose an instance %d ms after its answer".formatted((i + 1) * 100));
    }
  }

  /** After a cut the instances are found again. */
  @Test
  void asksAgainAfterACut() {
    for (int i = 0; i < 80; i++) {
      now = now.plusMillis(100);
      policy.instancesToAsk(SIBLINGS, now).forEach(each -> policy.onUnwilling(each, now));
    }
    for (int i = 0; i < 45; i++) {
      now = now.plusMillis(100);
      answerAll();
    }
    assertTrue(policy.choose(Set.of(), now).isPresent());
  }

  @Test
  void doesNotOfferToAnInstanceThatRefusedAMomentAgo() {
    policy.onWilling("a:1", now);
    policy.onUnwilling("a:1", now);
    policy.onWilling("b:1", now);
    for (int i = 0; i < 20; i++) {
      assertEquals(Optional.of("b:1"), policy.choose(Set.of(), now));
    }
  }

  @Test
  void offersARequestToTwoInstancesAtMost() {
    SIBLINGS.forEach(each -> policy.onWilling(each, now));
    assertEquals(Optional.empty(), policy.choose(Set.of("a:1", "b:1"), now));
  }

  @Test
  void spreadsRequestsOverTheInstancesAtHand() {
    policy.onWilling("a:1", now);
    policy.onWilling("b:1", now);
    String first = policy.choose(Set.of(), now).orElseThrow();
    policy.onSent(first);
    assertNotEquals(first, policy.choose(Set.of(), now).orElseThrow());
  }

  @Test
  void asksFewInstancesAtATimeAndNoneIfEnoughAreAtHand() {
    assertTrue(policy.instancesToAsk(SIBLINGS, now).size() <= 2);
    SIBLINGS.subList(0, 4).forEach(each -> policy.onWilling(each, now));
    assertEquals(List.of(), policy.instancesToAsk(SIBLINGS, now));
  }

  /**
   * Two instances are late, one by more than the other. Neither takes the other's requests unless
   * it is far less late: else requests would be passed around among instances that are all late.
   */
  @Test
  void takesNoRequestWhileLateUnlessTheSenderIsFarLater() {
    Duration late = Duration.ofMillis(100);
    assertFalse(policy.accepts(late, Duration.ofMillis(200), AIM));
    assertTrue(policy.accepts(late, Duration.ofMillis(400), AIM));
    assertTrue(policy.accepts(Duration.ofMillis(10), Duration.ofMillis(60), AIM));
  }

  /** A request must not be sent to more servers than its route allows, by both instances. */
  @Test
  void dividesTheAttemptsOfARouteBetweenBothInstances() {
    assertEquals(1, policy.attemptsHandedOver(false, 1));
    assertEquals(3, policy.attemptsHandedOver(false, 3));
    assertEquals(2, policy.attemptsHandedOver(true, 2));
    assertEquals(2, policy.attemptsHandedOver(true, 3));
  }

  /**
   * One of seven instances gets five times the callers that it can serve, and the others few. The
   * longest wait has to fall to a tenth, and the instances that take requests must still answer
   * their own callers in time.
   */
  @Test
  void shortensTheWaitOfCallersAtAnInstanceThatGetsMostOfThem() {
    Uneven alone = new Uneven(false);
    Uneven balanced = new Uneven(true);
    alone.run();
    balanced.run();
    assertTrue(
        balanced.longestWaitMillis * 10 < alone.longestWaitMillis,
        "waited %d ms, %d ms without handing over"
            .formatted(balanced.longestWaitMillis, alone.longestWaitMillis));
    assertTrue(
        balanced.longestSiblingMillis < AIM.toMillis() / 2,
        "a sibling was late by %d ms".formatted(balanced.longestSiblingMillis));
  }

  private void answerAll() {
    policy.instancesToAsk(SIBLINGS, now).forEach(each -> policy.onWilling(each, now));
  }

  /** Instances that each need 12 ms for a request of their own and 2 ms to hand one over. */
  private final class Uneven {
    private static final int STEP_MILLIS = 20;
    private static final int STEPS = 250;
    private static final int SERVE_MILLIS = 12;
    private static final int HAND_OVER_MILLIS = 2;
    private static final int REQUESTS_PER_STEP_AT_THE_FIRST = 8;

    private final boolean handsOver;
    private final HandoverPolicy own = new HandoverPolicy(new Random(2));
    private final long[] backlogMillis = new long[1 + SIBLINGS.size()];
    private long longestWaitMillis;
    private long longestSiblingMillis;

    Uneven(boolean handsOver) {
      this.handsOver = handsOver;
    }

    void run() {
      for (int step = 0; step < STEPS; step++) {
        now = now.plusMillis(STEP_MILLIS);
        for (String asked : own.instancesToAsk(SIBLINGS, now)) {
          own.onWilling(asked, now);
        }
        List<String> open = new ArrayList<>();
        for (int i = 0; i < REQUESTS_PER_STEP_AT_THE_FIRST; i++) {
          receive(open);
        }
        open.forEach(own::onEnded);
        Arrays.setAll(backlogMillis, i -> Math.max(0, backlogMillis[i] - STEP_MILLIS));
      }
    }

    private void receive(List<String> open) {
      longestWaitMillis = Math.max(longestWaitMillis, backlogMillis[0]);
      Duration late = Duration.ofMillis(backlogMillis[0]);
      Optional<String> chosen =
          handsOver && own.isHeldUp(late, AIM) ? own.choose(Set.of(), now) : Optional.empty();
      if (chosen.isEmpty()) {
        backlogMillis[0] += SERVE_MILLIS;
        return;
      }
      int taker = 1 + SIBLINGS.indexOf(chosen.get());
      backlogMillis[0] += HAND_OVER_MILLIS;
      if (!own.accepts(Duration.ofMillis(backlogMillis[taker]), late, AIM)) {
        own.onUnwilling(chosen.get(), now);
        backlogMillis[0] += SERVE_MILLIS;
        return;
      }
      own.onSent(chosen.get());
      open.add(chosen.get());
      backlogMillis[taker] += SERVE_MILLIS;
      longestSiblingMillis = Math.max(longestSiblingMillis, backlogMillis[taker]);
    }
  }
}
