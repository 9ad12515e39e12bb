package org.teaseldeal.router.instance;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import java.time.Duration;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.teaseldeal.cli.log.LogLine;
import org.teaseldeal.core.command.InstanceCommand;
import org.teaseldeal.core.event.InstanceEvent;

/**
 * The event loop of an instance, which runs on a single thread.
 *
 * <p>Any thread may submit events. They are handled in order of submission, in batches. After each
 * batch, and at least once per tick interval, the loop ticks the instance and executes the commands
 * that the instance issued.
 */
public final class InstanceLoop implements Consumer<InstanceEvent>, AutoCloseable {
  /**
   * The number of tasks that a batch may hold besides its first one. The limit bounds how long
   * commands wait for their execution while new events keep arriving.
   */
  private static final int MAX_EXTRA_TASKS_PER_BATCH = 256;

  private static final Duration STOP_TIMEOUT = Duration.ofSeconds(2);

  private final BlockingQueue<Runnable> tasks = new LinkedBlockingQueue<>();
  private final Instance instance;
  private final Consumer<InstanceCommand> commands;
  private final long tickIntervalNanos;
  private final Timer tickTimer;
  private final Counter failures;
  private final Thread thread;
  private volatile boolean ready;
  private volatile boolean closed;
  private volatile long lastTickNanos = System.nanoTime();

  /**
   * Creates a loop that {@link #start} starts; {@code commands} executes the instance's commands.
   */
  public InstanceLoop(
      Instance instance,
      Consumer<InstanceCommand> commands,
      Duration tickInterval,
      MetricRegistry metrics) {
    this.instance = instance;
    this.commands = commands;
    this.tickIntervalNanos = tickInterval.toNanos();
    this.tickTimer = metrics.timer("tick");
    this.failures = metrics.counter("core_failures");
    metrics.gauge("events_waiting", () -> tasks::size);
    this.thread = Thread.ofPlatform().name("core").daemon(true).unstarted(this::run);
  }

  /** Starts the thread of the loop. */
  public void start() {
    thread.start();
  }

  @Override
  public void accept(InstanceEvent event) {
    tasks.add(() -> instance.handle(event));
  }

  /** Applies {@code query} to the instance on the loop's thread and returns its result. */
  public <T> CompletableFuture<T> query(Function<Instance, T> query) {
    CompletableFuture<T> answer = new CompletableFuture<>();
    tasks.add(
        () -> {
          try {
            answer.complete(query.apply(instance));
          } catch (RuntimeException e) {
            answer.completeExceptionally(e);
          }
        });
    return answer;
  }

  /** Returns whether the instance accepted new requests at its last tick. */
  public boolean ready() {
    return ready;
  }

  /** Returns the time since the end of the last tick. */
  public Duration sinceLastTick() {
    return Duration.ofNanos(System.nanoTime() - lastTickNanos);
  }

  /** Stops the thread after its current batch and waits for it, up to a timeout. */
  @Override
  public void close() {
    closed = true;
    tasks.add(() -> {});
    try {
      thread.join(STOP_TIMEOUT);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void run() {
    while (!closed) {
      handleBatch();
      runGuarded(this::tick);
    }
  }

  private void handleBatch() {
    Runnable task = awaitTask();
    for (int i = 0; task != null; i++) {
      runGuarded(task);
      task = i < MAX_EXTRA_TASKS_PER_BATCH ? tasks.poll() : null;
    }
  }

  private @Nullable Runnable awaitTask() {
    long wait = Math.max(0, lastTickNanos + tickIntervalNanos - System.nanoTime());
    try {
      return tasks.poll(wait, TimeUnit.NANOSECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      closed = true;
      return null;
    }
  }

  private void tick() {
    try (Timer.Context timing = tickTimer.time()) {
      instance.tick();
    } finally {
      lastTickNanos = System.nanoTime();
    }
    for (InstanceCommand command : instance.drainCommands()) {
      runGuarded(() -> commands.accept(command));
    }
    ready = instance.ready();
  }

  /**
   * Runs {@code step} and logs its exception, if it throws one, instead of passing it on.
   *
   * <p>An exception would otherwise end the thread. A single faulty request could then stop the
   * instance, and break the streams of all other requests that it serves.
   */
  private void runGuarded(Runnable step) {
    try {
      step.run();
    } catch (RuntimeException e) {
      failures.inc();
      LogLine.of("a step of the instance's event loop failed; continuing with the next one")
          .error(e);
    }
  }
}
