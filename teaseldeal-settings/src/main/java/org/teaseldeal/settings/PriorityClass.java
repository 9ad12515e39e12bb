package org.teaseldeal.settings;

/** The priority of a service's requests; requests with a lower {@link #rank()} are served first. */
public enum PriorityClass {
  INTERACTIVE(0),
  STANDARD(1),
  BATCH(2);

  private final int rank;

  PriorityClass(int rank) {
    this.rank = rank;
  }

  /** Returns the position in the order of service; zero is served first. */
  public int rank() {
    return rank;
  }
}
