package org.teaseldeal.decisions;

import java.time.Duration;
import java.time.Instant;

/**
 * The phases of an instance's stop: what is still taken, and when the process may end.
 *
 * <p>Both are decided here, as an instance that takes requests and ends by rules of their own cuts
 * off what it took between its last look and its end: the server runs the request and the caller
 * sees a closed connection. The order is enough against it: first everything is refused, and only
 * then is it asked whether answers are outstanding; after that none can come up but refusals.
 *
 * <p>The clock has to go on while the process is frozen, as the time until it is killed does, and
 * must not follow steps of the time of day, which would end a stop before its answers.
 */
public final class DrainPhases {
  /** What a stopping instance does; only ever followed by a later one. */
  public enum Phase {
    /** Takes what usually ends in time: the balancer doesn't know yet. */
    ACCEPTING,
    /** Takes what ends in time for certain. */
    SHORT_ONLY,
    /** Refuses everything, also what waits and has not run, and finishes what runs. */
    REFUSING,
    /** Breaks off what still runs, as the process is about to be killed. */
    BREAKING_OFF,
    /** Takes no new connections; answers what comes on those that it has. */
    CLOSING,
    /** Reads nothing more, so that nothing new comes up; lets the last answers leave. */
    LEAVING,
    /** The process may end. */
    DONE
  }

  /**
   * What still holds up the end.
   *
   * @param unanswered requests whose answers haven't left the process
   * @param tokensReturned whether the log says that the instance holds no tokens
   */
  public record Left(int unanswered, boolean tokensReturned) {}

  /** Kept for closing down before the process is killed. */
  private static final Duration RESERVE = Duration.ofMillis(900);

  /** Of a short grace most is left for callers. */
  private static final int RESERVE_PART = 4;

  /** Of the reserve, the time in which the last answers leave; the rest is for the process. */
  private static final int FLUSH_PART = 2;

  /** A few tries to tell the log; when it is away, starting again serves callers better. */
  private static final Duration LONGEST_RETURN = Duration.ofMillis(800);

  /** Requests on connections that were just accepted are here within some milliseconds. */
  private static final Duration LAST_CALL = Duration.ofMillis(60);

  /** An answer leaves in less, unless its caller has stopped reading. */
  private static final Duration LAST_FLUSH = Duration.ofMillis(60);

  private final DrainAdmission admission;
  private final Instant flushed;
  private Phase phase = Phase.ACCEPTING;
  private Instant since;

  /**
   * Begins a stop.
   *
   * @param grace from {@code began} until the process is killed
   */
  public DrainPhases(Instant began, Duration grace) {
    Duration part = grace.dividedBy(RESERVE_PART);
    Duration reserve = part.compareTo(RESERVE) < 0 ? part : RESERVE;
    admission = new DrainAdmission(began, began.plus(grace).minus(reserve));
    flushed = admission.ends().plus(reserve.dividedBy(FLUSH_PART));
    since = began;
  }

  /** What is taken in {@link Phase#ACCEPTING} and {@link Phase#SHORT_ONLY}. */
  public DrainAdmission admission() {
    return admission;
  }

  /**
   * Goes on to the next phase if it is time; one phase at a time, so that each one's work is done
   * before the next looks at what is left.
   */
  public Phase next(Instant now, Left left) {
    Phase next = following(now, left);
    if (next != phase) {
      phase = next;
      since = now;
    }
    return phase;
  }

  private Phase following(Instant now, Left left) {
    boolean idle = left.unanswered() == 0;
    return switch (phase) {
      case ACCEPTING -> now.isBefore(admission.noticed()) ? phase : Phase.SHORT_ONLY;
      case SHORT_ONLY -> idle || !now.isBefore(admission.lastSends()) ? Phase.REFUSING : phase;
      case REFUSING -> afterRefusing(now, left);
      case BREAKING_OFF -> Phase.CLOSING;
      case CLOSING -> lasted(now, LAST_CALL) ? Phase.LEAVING : phase;
      case LEAVING -> idle || (late(now) && lasted(now, LAST_FLUSH)) ? Phase.DONE : phase;
      case DONE -> Phase.DONE;
    };
  }

  private Phase afterRefusing(Instant now, Left left) {
    if (left.unanswered() == 0 && (left.tokensReturned() || lasted(now, LONGEST_RETURN))) {
      return Phase.CLOSING;
    }
    return now.isBefore(admission.ends()) ? phase : Phase.BREAKING_OFF;
  }

  private boolean late(Instant now) {
    return !now.isBefore(flushed);
  }

  private boolean lasted(Instant now, Duration duration) {
    return !now.isBefore(since.plus(duration));
  }
}
