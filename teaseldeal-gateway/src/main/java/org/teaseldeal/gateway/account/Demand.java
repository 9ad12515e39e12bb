package org.teaseldeal.gateway.account;

/** How fast a customer's requests at this instance set tokens aside, and how large they are. */
final class Demand {
  /** Followed over about this many periods: a light customer sends a request every few. */
  private static final int PERIODS = 8;

  private long sinceLast;
  private long largest;
  private int periods;
  private double tokensPerSecond;

  void add(long tokens) {
    sinceLast += tokens;
    largest = Math.max(tokens, largest);
  }

  /** Called once a second. */
  void follow() {
    periods = Math.min(periods + 1, PERIODS);
    tokensPerSecond += (sinceLast - tokensPerSecond) / periods;
    sinceLast = 0;
    largest -= largest / PERIODS;
  }

  double tokensPerSecond() {
    return tokensPerSecond;
  }

  /** The largest of recent requests; falls by an eighth a second. */
  long largest() {
    return largest;
  }
}
