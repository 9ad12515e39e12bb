package org.teaseldeal.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class AdaptiveTimeoutTests {
  private static final Duration SHORTEST = Duration.ofMillis(700);
  private static final Duration LONGEST = Duration.ofMillis(2400);

  private static final int CALL_MS = 190;

  /** Longest queue of the service; it refuses further calls immediately. */
  private static final int LONGEST_QUEUE = 2_000 / CALL_MS;

  private static final long REFUSED_PAUSE_MS = 500;

  /** A caller that repeats its call until it is answered. */
  private static final class Caller {
    private final AdaptiveTimeout timeout;
    private long sentAt;
    private long pauseUntil;
    private boolean waits;
    private int answered;

    Caller(Duration shortest) {
      timeout = new AdaptiveTimeout(shortest, LONGEST);
    }
  }

  /** A call in the service's queue. */
  private record Queued(Caller caller, long sentAt) {}

  /**
   * Guards against a service that answers no call any more after it has become ninety times slower.
   * Nine callers call without a pause, and the service processes the calls one after the other,
   * each in 190 ms. A caller that gives up repeats its call and leaves the first one in the queue.
   * The callers have to get answers even if the shortest timeout is below the duration of a call.
   */
  @ParameterizedTest
  @ValueSource(longs = {150, 700})
  void getsAnswersFromAServiceThatProcessesCallsSlowly(long shortestMillis) {
    Duration shortest = Duration.ofMillis(shortestMillis);
    List<Caller> callers = Stream.generate(() -> new Caller(shortest)).limit(9).toList();
    Queue<Queued> queue = new ArrayDeque<>();
    for (long now = 0; now < 20_000; now += 10) {
      if (now % CALL_MS == 0 && !queue.isEmpty()) {
        answer(queue.remove(), now);
      }
      for (Caller caller : callers) {
        step(caller, now, queue);
      }
    }
    int answered = callers.stream().mapToInt(caller -> caller.answered).sum();
    int possible = 20_000 / CALL_MS;
    assertTrue(
        answered >= possible / 2,
        "%d answers, expected half of the %d that are possible".formatted(answered, possible));
  }

  private static void step(Caller caller, long now, Queue<Queued> queue) {
    boolean gaveUp = caller.waits && now - caller.sentAt > caller.timeout.current().toMillis();
    if (gaveUp) {
      caller.waits = false;
      caller.timeout.onUnanswered();
    }
    if (caller.waits || now < caller.pauseUntil) {
      return;
    }
    if (queue.size() > LONGEST_QUEUE) {
      caller.pauseUntil = now + REFUSED_PAUSE_MS;
      return;
    }
    caller.waits = true;
    caller.sentAt = now;
    queue.add(new Queued(caller, now));
  }

  private static void answer(Queued done, long now) {
    Caller caller = done.caller();
    if (caller.waits && caller.sentAt == done.sentAt()) {
      caller.waits = false;
      caller.answered++;
      caller.timeout.onAnswered(Duration.ofMillis(now - done.sentAt()));
    }
  }

  @Test
  void returnsToTheShortestTimeoutAfterAFastAnswer() {
    AdaptiveTimeout timeout = new AdaptiveTimeout(SHORTEST, LONGEST);
    timeout.onUnanswered();
    timeout.onUnanswered();
    assertEquals(LONGEST, timeout.current());
    timeout.onAnswered(Duration.ofMillis(4));
    assertEquals(SHORTEST, timeout.current());
  }
}
