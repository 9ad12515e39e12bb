package org.teaseldeal.gateway.flow;

import org.teaseldeal.api.Preconditions;

/**
 * How the engine of a prompt is chosen.
 *
 * @param fitRates whether the engines' speeds are estimated from their answers; if not, all are
 *     taken to be as fast as the data sheets say
 * @param memoryShare part of an engine's memory that requests may fill; 0 for no limit
 * @param separateLong whether long and short prompts use different engines first
 * @param shortlist whether only some engines are examined for each prompt
 */
public record EngineOptions(
    boolean fitRates, double memoryShare, boolean separateLong, boolean shortlist) {
  /** Nothing is estimated or limited, and all engines are examined. */
  public static final EngineOptions NONE = new EngineOptions(false, 0, false, false);

  public EngineOptions {
    Preconditions.require(
        memoryShare >= 0 && memoryShare <= 1,
        "memory share was %s, expected 0 to 1".formatted(memoryShare));
  }
}
