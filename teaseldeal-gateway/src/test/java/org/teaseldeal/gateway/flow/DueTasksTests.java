package org.teaseldeal.gateway.flow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * The load is that of an instance that waits for callers: sixteen components, most of which have
 * nothing to do for seconds.
 */
class DueTasksTests {
  private static final Instant START = Instant.EPOCH.plusSeconds(1_000_000);

  /** An event loop in virtual time with one timer. */
  private static final class Loop implements InstantSource, DueTasks.Timer {
    private Instant now = START;

    /** The time of the timer and of the real world; a step of the clock doesn't change it. */
    private long nanos;

    private long timerNanos = Long.MAX_VALUE;
    private Runnable timerTask = () -> {};
    private int timersSet;

    @Override
    public Instant instant() {
      return now;
    }

    @Override
    public Runnable schedule(Duration delay, Runnable task) {
      timersSet++;
      timerNanos = nanos + delay.toNanos();
      timerTask = task;
      return () -> timerNanos = Long.MAX_VALUE;
    }

    void run(Duration time) {
      long end = nanos + time.toNanos();
      while (timerNanos <= end) {
        advance(timerNanos - nanos);
        timerNanos = Long.MAX_VALUE;
        timerTask.run();
      }
      advance(end - nanos);
    }

    /** Nothing runs for a while, and then everything that is overdue. */
    void stall(Duration time) {
      advance(time.toNanos());
      run(Duration.ZERO);
    }

    /**
     * The handling of one input takes {@code time}. Timers that are due then run before the input
     * that has arrived meanwhile is handled.
     */
    void stallInInput(Duration time, Runnable pendingInput) {
      advance(time.toNanos());
      timerNanos = Long.MAX_VALUE;
      timerTask.run();
      pendingInput.run();
      run(Duration.ZERO);
    }

    private void advance(long byNanos) {
      nanos += Math.max(0, byNanos);
      now = now.plusNanos(Math.max(0, byNanos));
    }
  }

  private final Loop loop = new Loop();
  private final List<Duration> delays = new ArrayList<>();
  private final DueTasks tasks = new DueTasks(loop, loop, delays::add);
  private final List<Duration> runs = new ArrayList<>();

  private Duration elapsed() {
    return Duration.ofNanos(loop.nanos);
  }

  private Runnable addRecorded(Duration interval) {
    return tasks.add("recorded", () -> runs.add(elapsed()), () -> loop.now.plus(interval));
  }

  private void startAndClear() {
    tasks.start();
    loop.run(Duration.ofMillis(20));
    runs.clear();
    delays.clear();
    loop.timersSet = 0;
  }

  /** A deadline must be kept to a round of the loop, also if it isn't at the time of a round. */
  @Test
  void runsATaskAtTheFirstRoundAtOrAfterItsTime() {
    List<Instant> due = new ArrayList<>(List.of(START.plusMillis(101), START.plusMillis(140)));
    tasks.add(
        "deadlines",
        () -> runs.add(elapsed()),
        () -> due.isEmpty() ? Instant.MAX : due.removeFirst());
    startAndClear();
    loop.run(Duration.ofMillis(200));
    assertEquals(List.of(Duration.ofMillis(120), Duration.ofMillis(140)), runs);
  }

  /** An idle instance must not spend processor time on rounds in which nothing is due. */
  @Test
  void runsNothingWhileNothingIsDue() {
    addRecorded(Duration.ofSeconds(100));
    startAndClear();
    loop.run(DueTasks.MAX_PAUSE.minusMillis(40));
    assertEquals(List.of(), runs);
    assertEquals(List.of(), delays);
    assertEquals(0, loop.timersSet);
  }

  @Test
  void runsAWokenTaskInTheNextRound() {
    Runnable wake = addRecorded(Duration.ofSeconds(100));
    startAndClear();
    loop.run(Duration.ofMillis(25));
    wake.run();
    wake.run();
    loop.run(Duration.ofMillis(100));
    assertEquals(List.of(Duration.ofMillis(60)), runs);
  }

  /** A task that wakes itself or one before it must not keep the loop from its sockets. */
  @Test
  void runsATaskOnceInARoundEvenIfItWakesItself() {
    List<Runnable> wake = new ArrayList<>();
    wake.add(
        tasks.add(
            "wakes itself",
            () -> {
              runs.add(elapsed());
              wake.forEach(Runnable::run);
            },
            () -> Instant.MAX));
    startAndClear();
    loop.run(Duration.ofMillis(60));
    assertEquals(
        List.of(Duration.ofMillis(40), Duration.ofMillis(60), Duration.ofMillis(80)), runs);
  }

  @Test
  void runsATaskThatWakesALaterOneInTheSameRound() {
    Runnable[] wakeLater = {() -> {}};
    Runnable wakeFirst = tasks.add("first", () -> wakeLater[0].run(), () -> Instant.MAX);
    wakeLater[0] = addRecorded(Duration.ofSeconds(100));
    startAndClear();
    wakeFirst.run();
    loop.run(Duration.ofMillis(40));
    assertEquals(List.of(Duration.ofMillis(40)), runs);
  }

  /** A wake-up that is lost must not hang a request: its deadline still ends it, a little late. */
  @Test
  void runsATaskThatIsNeverWokenAfterTheLongestPause() {
    tasks.add("never woken", () -> runs.add(elapsed()), () -> Instant.MAX);
    startAndClear();
    loop.run(DueTasks.MAX_PAUSE);
    assertEquals(1, runs.size());
  }

  /** A component with a fault must not stop the deadlines of requests, nor be given up itself. */
  @Test
  void runsTheOtherTasksIfOneFails() {
    int[] failures = {0};
    tasks.add(
        "broken",
        () -> {
          failures[0]++;
          throw new IllegalStateException("expected by the test");
        },
        () -> Instant.MAX);
    tasks.add(
        "without a time",
        () -> {},
        () -> {
          throw new IllegalStateException("expected by the test");
        });
    addRecorded(Duration.ofMillis(40));
    startAndClear();
    loop.run(Duration.ofMillis(200));
    assertEquals(5, runs.size());
    assertEquals(11, failures[0]);
  }

  /** The clock leaps ahead after the processor was taken away: all that is overdue runs, once. */
  @Test
  void runsOverdueTasksOnceAfterAStall() {
    addRecorded(Duration.ofMillis(40));
    startAndClear();
    loop.stall(Duration.ofSeconds(3));
    assertEquals(1, runs.size());
    loop.run(Duration.ofMillis(60));
    assertTrue(runs.size() >= 2);
  }

  /**
   * Guards against servers that count as silent, and requests that count as overdue, because their
   * answers lie unread while the loop itself stands still.
   */
  @Test
  void handlesPendingInputBeforeTheTasksAfterAStall() {
    List<String> order = new ArrayList<>();
    tasks.add("recorded", () -> order.add("task"), () -> loop.now.plus(Duration.ofMillis(40)));
    startAndClear();
    order.clear();
    loop.stallInInput(Duration.ofSeconds(2), () -> order.add("input"));
    assertEquals(List.of("input", "task"), order);
  }

  /** A clock that goes back by hours must not make all tasks wait for hours. */
  @Test
  void keepsRunningAfterTheClockWasSetBack() {
    addRecorded(Duration.ofMillis(100));
    startAndClear();
    loop.now = loop.now.minus(Duration.ofHours(5));
    loop.run(Duration.ofSeconds(1));
    assertTrue(runs.size() >= 5, "ran " + runs.size() + " times");
  }

  /** The event of a stalled loop and the readiness of the instance go by this delay. */
  @Test
  void reportsHowLateARoundBegins() {
    addRecorded(Duration.ofMillis(60));
    startAndClear();
    loop.run(Duration.ofMillis(30));
    loop.stall(Duration.ofMillis(280));
    assertEquals(List.of(Duration.ofMillis(250)), delays);
  }

  @Test
  void runsNothingAfterItWasStopped() {
    Runnable wake = addRecorded(Duration.ofMillis(40));
    startAndClear();
    tasks.stop();
    wake.run();
    loop.run(Duration.ofSeconds(2));
    assertEquals(List.of(), runs);
  }
}
