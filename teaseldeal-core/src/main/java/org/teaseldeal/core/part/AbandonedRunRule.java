package org.teaseldeal.core.part;

/** Decides whether the tokens of an abandoned run stay reserved until its usage is known. */
@FunctionalInterface
public interface AbandonedRunRule {
  /**
   * Keeps the tokens reserved until the engine has reported the run's usage. If they were released
   * at once, other requests could spend them while the engine may still be using them.
   */
  AbandonedRunRule KEEP_RESERVED = () -> true;

  /** Returns whether the reservation is kept until the usage is known. */
  boolean keepReservation();
}
