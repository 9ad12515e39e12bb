package org.teaseldeal.decisions;

import java.time.Duration;
import java.time.Instant;
import org.jspecify.annotations.Nullable;

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
 *
 * <p>Callers' connections are read before each step. If the event loop is blocked or starved, steps
 * come late, and requests wait unread meanwhile. The waiting times of the last phases therefore
 * count only time in which steps come.
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
    /** Closes also the connections on which a request is still arriving, with the same notice. */
    ENDING,
    /** The process may end. */
    DONE
  }

  /**
   * The work that is still outstanding before the process may end.
   *
   * @param unanswered number of requests whose answers have not left the process
   * @param accepting whether callers' connections may still be accepted
   * @param usableConnections number of callers' connections on which a request may still be read:
   *     their callers have not been told that they close
   * @param openConnections number of callers' connections that neither side has closed
   * @param tokensReturned whether the log has confirmed the return of the instance's tokens
   */
  public record Outstanding(
      int unanswered,
      boolean accepting,
      int usableConnections,
      int openConnections,
      boolean tokensReturned) {
    private boolean isSettled() {
      return unanswered == 0 && usableConnections == 0;
    }
  }

  /** The time between two steps. A step that comes later counts as if it came in time. */
  public static final Duration STEP_INTERVAL = Duration.ofMillis(20);

  /** Time reserved for closing down before the process is killed. */
  private static final Duration MAX_RESERVE = Duration.ofMillis(900);

  /** With a short grace period, at most this fraction of it (one part in 4) is reserved. */
  private static final int RESERVE_DIVISOR = 4;

  /** The part of the reserve in which the last answers are flushed (one part in 2). */
  private static final int FLUSH_DIVISOR = 2;

  /**
   * The part of the reserve in which callers are still told of the close if the event loop was late
   * (one part in 8); the rest is for ending the process.
   */
  private static final int END_DIVISOR = 8;

  /**
   * Steps without outstanding work before the end: the second one has read all connections after
   * the first one found nothing.
   */
  private static final int MIN_SETTLED_STEPS = 2;

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

  /** Longest time for the last notices; they go out at once unless a connection is stuck. */
  private static final Duration MAX_ENDING_TIME = FLUSH_TIME.multipliedBy(2);

  /**
   * Time for callers to read that their connection is closed, and to close it too. A process that
   * ends before resets requests that are on their way; an idle caller does not hold it up longer.
   */
  private static final Duration CALLERS_CLOSE_TIME = Duration.ofMillis(300);

  private final DrainAdmission admission;
  private final Instant flushDeadline;
  private final Instant endDeadline;
  private Phase phase = Phase.ACCEPTING;
  private Instant phaseSince;
  private Instant lastStep;

  /** Time in this phase, less the time by which its steps came late. */
  private Duration phaseTime = Duration.ZERO;

  /** Steps in this phase since work was last outstanding, and the time in which they came. */
  private int settledSteps;

  private Duration settledTime = Duration.ZERO;

  /** When a step first found no usable connection; null if the last step found some. */
  private @Nullable Instant toldSince;

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
    endDeadline = flushDeadline.plus(reserve.dividedBy(END_DIVISOR));
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
    countStep(now, outstanding);
    Phase next = nextPhase(now, outstanding);
    if (next != phase) {
      phase = next;
      phaseSince = now;
      phaseTime = Duration.ZERO;
      settledSteps = 0;
      settledTime = Duration.ZERO;
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

  private void countStep(Instant now, Outstanding outstanding) {
    Duration gap = Duration.between(lastStep, now);
    longestStepGap = gap.compareTo(longestStepGap) > 0 ? gap : longestStepGap;
    lastStep = now;
    Duration counted = gap.compareTo(STEP_INTERVAL) < 0 ? gap : STEP_INTERVAL;
    phaseTime = phaseTime.plus(counted);
    settledSteps = outstanding.isSettled() ? settledSteps + 1 : 0;
    settledTime = outstanding.isSettled() ? settledTime.plus(counted) : Duration.ZERO;
    if (outstanding.usableConnections() > 0) {
      toldSince = null;
    } else if (toldSince == null) {
      toldSince = now;
    }
  }

  private Phase nextPhase(Instant now, Outstanding outstanding) {
    boolean idle = outstanding.unanswered() == 0;
    return switch (phase) {
      case ACCEPTING -> now.isBefore(admission.balancerNoticed()) ? phase : Phase.SHORT_ONLY;
      case SHORT_ONLY -> idle || !now.isBefore(admission.lastDispatch()) ? Phase.REFUSING : phase;
      case REFUSING -> afterRefusing(now, outstanding);
      case ABORTING -> Phase.CLOSING;
      case CLOSING -> afterClosing(now, outstanding);
      case FLUSHING -> afterFlushing(now, outstanding);
      case ENDING -> hasEnded(now) ? Phase.DONE : phase;
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

  private Phase afterClosing(Instant now, Outstanding outstanding) {
    if (pastEndDeadline(now)) {
      return Phase.ENDING;
    }
    boolean allAccepted = !outstanding.accepting() || pastFlushDeadline(now);
    return allAccepted && hasRun(LAST_REQUESTS_WAIT) ? Phase.FLUSHING : phase;
  }

  private Phase afterFlushing(Instant now, Outstanding outstanding) {
    boolean callersClosed =
        outstanding.openConnections() == 0 || settledTime.compareTo(CALLERS_CLOSE_TIME) >= 0;
    if (isSettled() && callersClosed) {
      return Phase.DONE;
    }
    boolean lastNotices = pastFlushDeadline(now) && hasRun(FLUSH_TIME);
    return lastNotices || pastEndDeadline(now) ? Phase.ENDING : phase;
  }

  private boolean hasEnded(Instant now) {
    boolean told = toldSince != null && !now.isBefore(toldSince.plus(FLUSH_TIME));
    return told || hasRun(MAX_ENDING_TIME);
  }

  private boolean isSettled() {
    return settledSteps >= MIN_SETTLED_STEPS;
  }

  private boolean pastFlushDeadline(Instant now) {
    return !now.isBefore(flushDeadline);
  }

  private boolean pastEndDeadline(Instant now) {
    return !now.isBefore(endDeadline);
  }

  /** Returns whether this phase has taken {@code duration}, not counting the lateness of steps. */
  private boolean hasRun(Duration duration) {
    return phaseTime.compareTo(duration) >= 0;
  }

  private boolean hasLasted(Instant now, Duration duration) {
    return !now.isBefore(phaseSince.plus(duration));
  }
}
