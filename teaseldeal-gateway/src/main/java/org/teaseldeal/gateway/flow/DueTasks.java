package org.teaseldeal.gateway.flow;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.teaseldeal.decisions.LoopDelay;

/**
 * Runs the tasks of an event loop when they are due, and nothing while none is due.
 *
 * <p>A task is due at the time that it named after its last run, when it is woken, and at the
 * latest {@link #MAX_PAUSE} after its last run, so that a lost wake-up delays a task but doesn't
 * stop it. Tasks run at multiples of {@link #RESOLUTION} within a second: several that are due at
 * almost the same time share one wake-up of the event loop. Tasks that are due together run in the
 * order in which they were added. A task that fails doesn't prevent the others from running.
 *
 * <p>A round that is late begins after the pending input has been handled. Otherwise tasks that
 * judge what has not arrived would judge by the state before the event loop was blocked.
 *
 * <p>Only the event loop may call the methods.
 */
public final class DueTasks {
  /** Short compared with the shortest latency target, 100 ms; divides a second. */
  public static final Duration RESOLUTION = Duration.ofMillis(20);

  /** The longest time between two runs of a task. */
  public static final Duration MAX_PAUSE = Duration.ofMillis(500);

  /** How long a task that has failed pauses. */
  private static final Duration PAUSE_AFTER_FAILURE = RESOLUTION;

  /** How often a round is deferred at most, so that a busy event loop doesn't hold it up. */
  private static final int MAX_DEFERRALS = 3;

  /** The timer of an event loop. */
  @FunctionalInterface
  public interface Timer {
    /**
     * Runs {@code task} on the event loop after {@code delay}, and not before the loop has handled
     * the input that has arrived by now.
     *
     * @return cancels it
     */
    Runnable schedule(Duration delay, Runnable task);
  }

  private final class Entry {
    private final String name;
    private final Runnable action;
    private final Supplier<Instant> nextDue;
    private Instant dueAt = Instant.MIN;
    private boolean running;
    private boolean wokenWhileRunning;

    Entry(String name, Runnable action, Supplier<Instant> nextDue) {
      this.name = name;
      this.action = action;
      this.nextDue = nextDue;
    }

    void runIfDue(Instant now) {
      if (now.isBefore(dueAt) && !now.isBefore(dueAt.minus(MAX_PAUSE))) {
        return;
      }
      dueAt = now.plus(PAUSE_AFTER_FAILURE);
      running = true;
      wokenWhileRunning = false;
      isolatedTasks.run(name, () -> run(now));
      running = false;
    }

    private void run(Instant now) {
      action.run();
      Instant latest = now.plus(MAX_PAUSE);
      Instant next = wokenWhileRunning ? now.plus(RESOLUTION) : nextDue.get();
      dueAt = next.isBefore(latest) ? next : latest;
    }

    void wake() {
      if (running) {
        wokenWhileRunning = true;
      } else if (!dueAt.equals(Instant.MIN)) {
        dueAt = Instant.MIN;
        reschedule(clock.instant());
      }
    }
  }

  private final Timer timer;
  private final InstantSource clock;
  private final Consumer<Duration> onRound;
  private final LoopDelay delay = new LoopDelay();
  private final IsolatedTasks isolatedTasks = new IsolatedTasks();
  private final List<Entry> entries = new ArrayList<>();
  private Instant nextRoundAt = Instant.MAX;
  private Runnable cancelTimer = () -> {};
  private boolean inRound;

  /** How often the round that is due was deferred so that pending input is handled before it. */
  private int deferrals;

  private Instant deferredAt = Instant.MIN;

  private boolean stopped = true;

  /**
   * Creates an empty set of tasks, none of which runs before {@link #start}.
   *
   * @param onRound receives at the beginning of each round how much later it began than it was to
   */
  public DueTasks(Timer timer, InstantSource clock, Consumer<Duration> onRound) {
    this.timer = timer;
    this.clock = clock;
    this.onRound = onRound;
  }

  /**
   * Adds a task.
   *
   * @param nextDue returns after each run when the task is due again; {@link Instant#MIN} for the
   *     next round, {@link Instant#MAX} if nothing is foreseen
   * @return makes the task due in the next round; may be called at any time
   */
  public Runnable add(String name, Runnable task, Supplier<Instant> nextDue) {
    Entry entry = new Entry(name, task, nextDue);
    entries.add(entry);
    return entry::wake;
  }

  /** Starts to run the tasks; each of them is due in the first round. */
  public void start() {
    stopped = false;
    reschedule(clock.instant());
  }

  /** Runs no task from now on. */
  public void stop() {
    stopped = true;
    cancelTimer.run();
  }

  /** Returns by how much the event loop is late; see {@link LoopDelay}. */
  public Duration delay() {
    return delay.at(overdue(clock.instant()));
  }

  /** Returns for how long the next round has been due; zero if it is not due yet. */
  private Duration overdue(Instant now) {
    return now.isAfter(nextRoundAt) ? Duration.between(nextRoundAt, now) : Duration.ZERO;
  }

  private void runRound() {
    if (stopped) {
      return;
    }
    Instant now = clock.instant();
    Duration late = overdue(now);
    if (defersRound(now, late)) {
      deferrals++;
      deferredAt = now;
      cancelTimer = timer.schedule(Duration.ZERO, this::runRound);
      return;
    }
    deferrals = 0;
    delay.onRound(late);
    inRound = true;
    isolatedTasks.run("round", () -> onRound.accept(late));
    for (Entry entry : entries) {
      entry.runIfDue(now);
    }
    inRound = false;
    nextRoundAt = Instant.MAX;
    reschedule(clock.instant());
  }

  /**
   * Returns whether pending input is handled before the round: once if the round is late, and again
   * if handling it has blocked the event loop anew.
   */
  private boolean defersRound(Instant now, Duration late) {
    Duration blocked = deferrals == 0 ? late : Duration.between(deferredAt, now);
    return deferrals < MAX_DEFERRALS && blocked.compareTo(RESOLUTION) > 0;
  }

  /** Sets the timer to the first task that is due, unless it is set to an earlier round. */
  private void reschedule(Instant now) {
    if (inRound || stopped) {
      return;
    }
    Instant first = now.plus(MAX_PAUSE);
    for (Entry entry : entries) {
      first = entry.dueAt.isBefore(first) ? entry.dueAt : first;
    }
    Instant round = first.isAfter(now) ? roundFrom(first) : roundFrom(now.plusNanos(1));
    if (round.isBefore(nextRoundAt) || nextRoundAt.minus(MAX_PAUSE).isAfter(now)) {
      nextRoundAt = round;
      cancelTimer.run();
      cancelTimer = timer.schedule(Duration.between(now, round), this::runRound);
    }
  }

  /** Returns the time of the first round at or after {@code time}. */
  private static Instant roundFrom(Instant time) {
    int resolution = RESOLUTION.getNano();
    return time.plusNanos(Math.floorMod(-time.getNano(), resolution));
  }
}
