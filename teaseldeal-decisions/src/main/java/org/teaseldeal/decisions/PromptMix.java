package org.teaseldeal.decisions;

import java.time.Duration;
import java.time.Instant;

/**
 * Tells long prompts from short ones by the prompts seen, and how many engines the long ones use
 * first.
 *
 * <p>An engine reads prompts of 12 000 tokens in an eighth of a second, and callers of short
 * prompts expect the first token in a third. The news of a prompt that another instance sent takes
 * a tenth of a second, so short prompts are sent behind long ones that nobody knew of. Therefore
 * long prompts use a part of the engines first, short prompts the others, and either any engine
 * when its own ones would be late. The part is the long prompts' share of all reading, so all
 * engines are equally busy, and it moves with the mix.
 *
 * <p>Instances see different prompts. The share therefore moves in steps, and only when it is most
 * of a step off, so that nearly all instances use the same one, and the homes of the prefixes stay
 * where they are.
 */
public final class PromptMix {
  /**
   * The part of the shortest target time from which the reading of a prompt counts as long: two of
   * them ahead, at an engine that is slowed down for a moment, still leave time for a short one.
   */
  private static final double LONG_FRACTION = 1 / 6.0;

  /** The number of steps in which the share moves. */
  private static final int STEPS = 8;

  /** How many steps the share has to be off before it moves. */
  private static final double STEPS_TO_MOVE = 0.75;

  /** The time in which the weight of a prompt falls to a third. */
  private static final Duration MEMORY = Duration.ofSeconds(10);

  /** The number of prompts from which the mix counts as known. */
  private static final double MIN_PROMPTS = 20;

  private static final Duration DECAY_INTERVAL = Duration.ofMillis(250);
  private static final double DECAY =
      Math.exp(-(double) DECAY_INTERVAL.toMillis() / MEMORY.toMillis());

  /** The number of intervals after which nothing is left of a prompt. */
  private static final int MAX_DECAYS = 200;

  private double prompts;
  private double longMillis;
  private double allMillis;
  private double shortestTargetMillis = Double.MAX_VALUE;
  private double nextShortestTargetMillis = Double.MAX_VALUE;
  private int longSteps = STEPS;
  private Instant decayedAt = Instant.MIN;
  private Instant targetsSince = Instant.MIN;

  /**
   * Records a prompt.
   *
   * @param wholeMillis time in which an average engine reads the whole prompt
   * @param readMillis time for the part of it that is presumably not cached
   * @param targetTime time within which its first token counts as on time
   */
  public void onPrompt(double wholeMillis, double readMillis, Duration targetTime, Instant now) {
    decay(now);
    double targetMillis = targetTime.toMillis();
    shortestTargetMillis = Math.min(shortestTargetMillis, targetMillis);
    nextShortestTargetMillis = Math.min(nextShortestTargetMillis, targetMillis);
    prompts++;
    allMillis += readMillis;
    if (isLong(wholeMillis)) {
      longMillis += readMillis;
    }
    double steps = allMillis > 0 ? longMillis / allMillis * STEPS : 0;
    if (prompts >= MIN_PROMPTS && Math.abs(steps - longSteps) > STEPS_TO_MOVE) {
      longSteps = (int) Math.round(steps);
    }
  }

  /** Returns whether a prompt that an average engine reads in this time delays short ones. */
  public boolean isLong(double wholeMillis) {
    return wholeMillis > shortestTargetMillis * LONG_FRACTION;
  }

  /**
   * Returns how many of {@code engines} long prompts use first, and short ones last; 0 if all
   * prompts use all engines alike, as long as there is only one kind.
   */
  public int enginesForLong(int engines) {
    if (longSteps == 0 || longSteps == STEPS || engines < 2) {
      return 0;
    }
    return Math.clamp(Math.round((double) engines * longSteps / STEPS), 1, engines - 1);
  }

  private void decay(Instant now) {
    if (decayedAt.equals(Instant.MIN)) {
      decayedAt = now;
      targetsSince = now;
    }
    for (int i = 0; i < MAX_DECAYS && !now.isBefore(decayedAt.plus(DECAY_INTERVAL)); i++) {
      decayedAt = decayedAt.plus(DECAY_INTERVAL);
      prompts *= DECAY;
      longMillis *= DECAY;
      allMillis *= DECAY;
    }
    if (!now.isBefore(decayedAt.plus(DECAY_INTERVAL))) {
      decayedAt = now;
    }
    if (!now.isBefore(targetsSince.plus(MEMORY))) {
      targetsSince = now;
      shortestTargetMillis = nextShortestTargetMillis;
      nextShortestTargetMillis = Double.MAX_VALUE;
    }
  }
}
