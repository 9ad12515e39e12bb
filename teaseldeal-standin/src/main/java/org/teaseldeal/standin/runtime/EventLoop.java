package org.teaseldeal.standin.runtime;

import java.time.Duration;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The single thread on which a stand-in's state is read and changed.
 *
 * <p>Requests arrive on the network's event loops and are passed on to this one, so the stand-in's
 * state needs no locks.
 */
public final class EventLoop implements Scheduler, Executor, AutoCloseable {
  private static final Logger LOGGER = LoggerFactory.getLogger(EventLoop.class);

  private final ScheduledThreadPoolExecutor executor;

  public EventLoop(String name) {
    executor = new ScheduledThreadPoolExecutor(1, Thread.ofPlatform().name(name).factory());
    executor.setRemoveOnCancelPolicy(true);
    // The network's threads are daemons. Without this thread, a stand-in that hasn't received a
    // request yet would exit at once.
    executor.prestartCoreThread();
    executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
  }

  @Override
  public void execute(Runnable task) {
    try {
      executor.execute(() -> runLogged(task));
    } catch (RejectedExecutionException e) {
      LOGGER.debug("A task came after the stop", e);
    }
  }

  @Override
  public Cancellable schedule(Duration delay, Runnable task) {
    try {
      ScheduledFuture<?> future =
          executor.schedule(() -> runLogged(task), delay.toNanos(), TimeUnit.NANOSECONDS);
      return () -> future.cancel(false);
    } catch (RejectedExecutionException e) {
      LOGGER.debug("A task came after the stop", e);
      return () -> {};
    }
  }

  @Override
  public void close() {
    executor.shutdownNow();
  }

  // Without this, an exception would be stored in a future that is never read, and an engine would
  // stop without a log line.
  private static void runLogged(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      LOGGER.error("Task on the event loop failed", e);
    }
  }
}
