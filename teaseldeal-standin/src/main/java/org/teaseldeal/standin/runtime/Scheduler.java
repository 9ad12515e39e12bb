package org.teaseldeal.standin.runtime;

import java.time.Duration;

/** Runs tasks after a delay, never at the same time as each other or the stand-in's other work. */
@FunctionalInterface
public interface Scheduler {
  /** Schedules {@code task} to run after {@code delay}, unless it is cancelled before. */
  Cancellable schedule(Duration delay, Runnable task);
}
