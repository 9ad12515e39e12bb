package org.teaseldeal.core.part;

/** Decides whether an engine that was already compared with the settings is queried again. */
@FunctionalInterface
public interface EngineRecheckRule {
  /**
   * Queries every engine again, whether its state matched or not. An engine that ignores fencing
   * tokens carries out the orders of a term holder that was suspended and resumes later. If engines
   * that once matched weren't queried again, the deviation would stay.
   */
  EngineRecheckRule ALWAYS = matched -> true;

  /**
   * Returns whether to query an engine again that had, or had not, the desired state when it was
   * last queried.
   */
  boolean queryAgain(boolean matched);
}
