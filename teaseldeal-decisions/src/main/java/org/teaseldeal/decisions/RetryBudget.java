package org.teaseldeal.decisions;

/**
 * Limits retries to a share of first attempts.
 *
 * <p>If servers fail under load, unlimited retries would turn each failure into additional work for
 * the remaining servers, which would then fail too. A share of 10 % adds at most a tenth to the
 * load; the small reserve allows retries in a fleet with little traffic.
 */
public final class RetryBudget {
  private static final double RESERVE = 10;

  private final double share;
  private double tokens = RESERVE;

  public RetryBudget(double share) {
    this.share = share;
  }

  /** Records a first attempt. */
  public void onFirstAttempt() {
    tokens = Math.min(RESERVE + 100 * share, tokens + share);
  }

  /** Takes one retry out of the budget; returns whether one was available. */
  public boolean tryRetry() {
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }
}
