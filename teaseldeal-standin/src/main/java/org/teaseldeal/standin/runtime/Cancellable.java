package org.teaseldeal.standin.runtime;

/** A scheduled task that can be cancelled. */
@FunctionalInterface
public interface Cancellable {
  /** Cancels the task if it hasn't started; has no effect otherwise. */
  void cancel();
}
