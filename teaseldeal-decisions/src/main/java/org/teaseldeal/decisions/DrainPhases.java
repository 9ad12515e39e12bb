package org.teaseldeal.decisions;

import java.time.Duration;
import java.time.Instant;

/**
 * The phases of an instance's shutdown: which requests are still accepted in each, and when the
 * process may end.
 *
 * <p>Both are decided here. If acceptance and shutdown followed separate rules, an instance could
 * accept a request between its last check for outstanding answers and its end; a backend server
 * would then run the request while the caller sees a closed connection. The order of the phases
 * prevents this: first all requests are refused, and only then is it checked whether answers are
 * outstanding. After that, only refusals can become outstanding.
 *
 * <p>The clock has to continue while the process is suspended, because the process is killed at the
 * same moment whether or not it was suspended. It must not follow steps of the wall clock, which
 * would end the shutdown before its answers have been sent.
 */
public final class DrainPhases {
  /** A phase of the shutdown. A phase is only ever followed by a later one. */
  public enum Phase {
    /**
     * Accepts requests that usually end in time, because the load balancer does not yet know of the
     * shutdown.
     */
    ACCEPTING,
    /** Accepts only requests that are certain to end in time. */
    SHORT_ONLY,
    /**
     * Refuses all new requests and those that wait and have not run, and completes the running
     * ones.
     */
    REFUSING,
    /** Aborts the requests that are still running, because the process is about to be killed. */
    ABORTING,
    /** Accepts no new connections; answers requests that arrive on existing ones. */
    CLOSING,
    /**
     * Closes each connection as soon as it is idle; its caller is told that a request which crosses
     * the close was not run. Refuses the requests that arrive before, and flushes the last answers.
     */
    FLUSHING,
    /** The process may end. */
    DONE
  }

  /**
   * The work that is still outstanding before the process may end.
   *
   * @param unanswered number of requests whose answers have not left the process
   * @param openConnections number of callers' connections that neither side has closed
   * @param tokensReturned whether the log has confirmed the return of the instance's tokens
   */
  public record Outstanding(int unanswered, int openConnections, boolean tokensReturned) {}

  /** Time reserved for closing down before the process is killed. */
  private static final Duration MAX_RESERVE = Duration.ofMillis(900);

  /** With a short grace period, at most this fraction of it (one part in 4) is reserved. */
  private static final int RESERVE_DIVISOR = 4;

  /**
   * The part of the reserve in which the last answers are flushed (one part in 2); the rest is for
   * ending the process.
   */
  private static final int FLUSH_DIVISOR = 2;

  /**
   * Longest time to wait until tokens have been returned through the log: enough for a few
   * attempts. If the log is unavailable, restarting the process sooner serves callers better.
   */
  private static final Duration MAX_RETURN_WAIT = Duration.ofMillis(800);

  /** Time for the requests on newly accepted connections, which arrive within some milliseconds. */
  private static final Duration LAST_REQUESTS_WAIT = Duration.ofMillis(60);

  /**
   * Time for flushing the last answers; an answer takes less unless its caller has stopped reading.
   */
  private static final Duration FLUSH_TIME = Duration.ofMillis(60);

  /**
   * Time for callers to read that their connection is closed, and to close it too. A process that
   * ends before resets requests that are on their way; an idle caller does not hold it up longer.
   */
  private static final Duration CALLERS_CLOSE_TIME = Duration.ofMillis(300);

  private final DrainAdmission admission;
  private final Instant flushDeadline;
  private Phase phase = Phase.ACCEPTING;
  private Instant phaseSince;
  private Instant lastStep;
  private Duration longestStepGap = Duration.ZERO;

  /**
   * Begins a shutdown.
   *
   * @param drainStart when the shutdown began
   * @param grace time from {@code drainStart} until the process is killed
   */
  public DrainPhases(Instant drainStart, Duration grace) {
    Duration part = grace.dividedBy(RESERVE_DIVISOR);
    Duration reserve = part.compareTo(MAX_RESERVE) < 0 ? part : MAX_RESERVE;
    admission = new DrainAdmission(drainStart, drainStart.plus(grace).minus(reserve));
    flushDeadline = admission.abortTime().plus(reserve.dividedBy(FLUSH_DIVISOR));
    phaseSince = drainStart;
    lastStep = drainStart;
  }

  /**
   * Returns the rule for accepting requests in {@link Phase#ACCEPTING} and {@link
   * Phase#SHORT_ONLY}.
   */
  public DrainAdmission admission() {
    return admission;
  }

  /**
   * Advances to the next phase if it is due, and returns the present phase. Advances by one phase
   * at a time, so that the work of each phase is done before the next one checks what is
   * outstanding.
   */
  public Phase advance(Instant now, Outstanding outstanding) {
    countStep(now);
    Phase next = nextPhase(now, outstanding);
    if (next != phase) {
      phase = next;
      phaseSince = now;
    }
    return phase;
  }

  /**
   * Returns the longest time between two steps so far. Callers' connections are read before each
   * step, and may have been unread in between.
   */
  public Duration longestStepGap() {
    return longestStepGap;
  }

  private void countStep(Instant now) {
    Duration gap = Duration.between(lastStep, now);
    longestStepGap = gap.compareTo(longestStepGap) > 0 ? gap : longestStepGap;
    lastStep = now;
  }

  private Phase nextPhase(Instant now, Outstanding outstanding) {
    boolean idle = outstanding.unanswered() == 0;
    return switch (phase) {
      case ACCEPTING -> now.isBefore(admission.balancerNoticed()) ? phase : Phase.SHORT_ONLY;
      case SHORT_ONLY -> idle || !now.isBefore(admission.lastDispatch()) ? Phase.REFUSING : phase;
      case REFUSING -> afterRefusing(now, outstanding);
      case ABORTING -> Phase.CLOSING;
      case CLOSING -> hasLasted(now, LAST_REQUESTS_WAIT) ? Phase.FLUSHING : phase;
      case FLUSHING -> isFlushed(now, outstanding) ? Phase.DONE : phase;
      case DONE -> Phase.DONE;
    };
  }

  private Phase afterRefusing(Instant now, Outstanding outstanding) {
    if (outstanding.unanswered() == 0
        && (outstanding.tokensReturned() || hasLasted(now, MAX_RETURN_WAIT))) {
      return Phase.CLOSING;
    }
    return now.isBefore(admission.abortTime()) ? phase : Phase.ABORTING;
  }

  private boolean isFlushed(Instant now, Outstanding outstanding) {
    if (pastFlushDeadline(now) && hasLasted(now, FLUSH_TIME)) {
      return true;
    }
    return outstanding.unanswered() == 0
        && (outstanding.openConnections() == 0 || hasLasted(now, CALLERS_CLOSE_TIME));
  }

  private boolean pastFlushDeadline(Instant now) {
    return !now.isBefore(flushDeadline);
  }

  private boolean hasLasted(Instant now, Duration duration) {
    return !now.isBefore(phaseSince.plus(duration));
  }
}
