package org.teaseldeal.standin.fault;

import java.util.SplittableRandom;

/** Makes random decisions with given probabilities from a seeded source. */
public final class SeededChance {
  private final SplittableRandom random;

  public SeededChance(long seed) {
    random = new SplittableRandom(seed);
  }

  /** Returns a number from 0 to below {@code bound}. */
  public int draw(int bound) {
    return random.nextInt(bound);
  }

  /** Returns true with probability {@code share}. */
  public boolean occurs(double share) {
    return share > 0 && random.nextDouble() < share;
  }
}
