package org.teaseldeal.api;

/**
 * Identifies one attempt to run a request at one backend server. Every frame of the server's answer
 * repeats it.
 */
public record AttemptId(IncarnationId incarnation, long number) {
  public AttemptId {
    Preconditions.requirePositive(number, "attempt number");
  }

  @Override
  public String toString() {
    return incarnation + "-" + number;
  }
}
