package org.teaseldeal.gateway.account;

/**
 * Tracks the rate at which a customer's requests at this instance reserve tokens, and the size of
 * the largest ones.
 */
final class Demand {
  /**
   * Number of one-second periods over which the rate is averaged. A customer with little traffic
   * sends a request only every few periods.
   */
  private static final int AVERAGED_PERIODS = 8;

  private long tokensSinceUpdate;
  private long largest;
  private int periods;
  private double tokensPerSecond;

  void add(long tokens) {
    tokensSinceUpdate += tokens;
    largest = Math.max(tokens, largest);
  }

  /** Updates the averages; called once a second. */
  void update() {
    periods = Math.min(periods + 1, AVERAGED_PERIODS);
    tokensPerSecond += (tokensSinceUpdate - tokensPerSecond) / periods;
    tokensSinceUpdate = 0;
    largest -= largest / AVERAGED_PERIODS;
  }

  double tokensPerSecond() {
    return tokensPerSecond;
  }

  /**
   * Returns the size of the largest recent request in tokens; the value decays by an eighth per
   * second.
   */
  long largest() {
    return largest;
  }
}
