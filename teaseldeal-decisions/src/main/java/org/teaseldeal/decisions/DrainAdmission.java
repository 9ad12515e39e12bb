package org.teaseldeal.decisions;

import java.time.Duration;
import java.time.Instant;

/**
 * Which requests an instance still takes while it stops.
 *
 * <p>Load pattern: many instances are replaced in turn, and the balancer goes on sending callers to
 * those that stop, as too few others are left of their data centre. Taken to the end, their
 * requests run and are cut off in the middle when the process is killed; refused from the start,
 * the callers that the balancer sends before it knows are turned away for nothing. So for the time
 * that a balancer takes to notice, everything is taken that usually ends in time; after it, what
 * ends before the process does for certain, at its deadline. All others are told at once that they
 * have not run: they get their answer from another instance after about a tenth of a second, while
 * an answer that breaks off costs its caller all the time that it has waited, and may not be
 * repeated.
 *
 * @param began when the instance was told to stop
 * @param ends when it cuts off what is left
 */
public record DrainAdmission(Instant began, Instant ends) {
  /** The balancer asks each second and goes by two answers; connections come until then. */
  public static final Duration BALANCER_NOTICES = Duration.ofMillis(2600);

  /** When to come back: at once, to another instance. */
  private static final Duration COME_BACK = Duration.ofMillis(100);

  /** Where there is little time, half of it is left for what was taken before. */
  private static final int NOTICE_PART = 2;

  /** What is first sent to a server later than this before the end is seldom answered in time. */
  private static final Duration SHORTEST_RUN = Duration.ofMillis(300);

  private static final int SHORTEST_RUN_PART = 4;

  /** Where {@code began} is not before {@code ends}, nothing is taken. */
  public DrainAdmission {
    if (ends.isBefore(began)) {
      ends = began;
    }
  }

  /**
   * Whether a request is taken.
   *
   * @param read when all of it had arrived; a body may come long after its head
   * @param deadline until when its caller waits
   * @param usual how long nearly all of its kind have taken lately; zero if not known
   */
  public boolean admits(Instant read, Instant deadline, Duration usual) {
    if (!read.isBefore(lastSends())) {
      return false;
    }
    boolean endsForCertain = !deadline.isAfter(ends);
    boolean usuallyEnds = !read.plus(usual).isAfter(ends);
    return endsForCertain || (read.isBefore(noticed()) && usuallyEnds);
  }

  /** From when on the balancer sends callers elsewhere, if it has an elsewhere. */
  Instant noticed() {
    return began.plus(shorter(BALANCER_NOTICES, total().dividedBy(NOTICE_PART)));
  }

  /** From when on no request is sent to a server for the first time. */
  Instant lastSends() {
    return ends.minus(shorter(SHORTEST_RUN, total().dividedBy(SHORTEST_RUN_PART)));
  }

  /** When a caller that is turned away should come back. */
  public Duration comeBack() {
    return COME_BACK;
  }

  private Duration total() {
    return Duration.between(began, ends);
  }

  private static Duration shorter(Duration one, Duration other) {
    return one.compareTo(other) < 0 ? one : other;
  }
}
