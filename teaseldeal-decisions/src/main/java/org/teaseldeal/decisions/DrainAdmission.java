package org.teaseldeal.decisions;

import java.time.Duration;
import java.time.Instant;
import org.teaseldeal.api.Durations;

/**
 * Decides which requests an instance still accepts during its shutdown.
 *
 * <p>If many instances are replaced one after another, the load balancer keeps sending callers to
 * stopping instances, because too few others remain in their data centre. If all these requests
 * were accepted until the end, they would be cut off when the process is killed. If all were
 * refused from the start, callers that the balancer sends before it notices the shutdown would be
 * rejected needlessly. Therefore, until a balancer has had time to notice, all requests are
 * accepted that usually end in time; afterwards only those that are certain to end before the
 * process does, because of their deadline. All others are refused immediately with the statement
 * that they were not run. Their callers get an answer from another instance after about a tenth of
 * a second. An aborted answer would cost the caller all the time that it has waited, and the
 * request may not be repeatable.
 *
 * @param drainStart when the instance was told to stop
 * @param abortTime when the instance aborts the remaining requests
 */
public record DrainAdmission(Instant drainStart, Instant abortTime) {
  /**
   * Time until the balancer has noticed the shutdown: it checks the health every second and needs
   * two results, and new connections arrive until then.
   */
  public static final Duration BALANCER_NOTICE_TIME = Duration.ofMillis(2600);

  /** Retry delay of refused callers: very short, since another instance serves them. */
  private static final Duration RETRY_AFTER = Duration.ofMillis(100);

  /**
   * If the shutdown is short, half of it (one part in 2) is reserved for the requests that were
   * accepted before.
   */
  private static final int NOTICE_DIVISOR = 2;

  /**
   * A request that is first sent to a server with less than this time left before the end is rarely
   * answered in time.
   */
  private static final Duration MIN_RUN_TIME = Duration.ofMillis(300);

  private static final int MIN_RUN_DIVISOR = 4;

  /** Accepts no requests if {@code drainStart} is not before {@code abortTime}. */
  public DrainAdmission {
    if (abortTime.isBefore(drainStart)) {
      abortTime = drainStart;
    }
  }

  /**
   * Returns whether a request is accepted.
   *
   * @param arrived when the whole request had arrived; a body may arrive long after its head
   * @param deadline until when its caller waits
   * @param usual time within which nearly all recent requests of its kind ended; zero if unknown
   */
  public boolean admits(Instant arrived, Instant deadline, Duration usual) {
    if (!arrived.isBefore(lastDispatch())) {
      return false;
    }
    boolean certainToEnd = !deadline.isAfter(abortTime);
    boolean likelyToEnd = !arrived.plus(usual).isAfter(abortTime);
    return certainToEnd || (arrived.isBefore(balancerNoticed()) && likelyToEnd);
  }

  /**
   * Returns the time from which the balancer sends callers to other instances, if there are any.
   */
  Instant balancerNoticed() {
    return drainStart.plus(
        Durations.shorter(BALANCER_NOTICE_TIME, total().dividedBy(NOTICE_DIVISOR)));
  }

  /** Returns the time from which no request is sent to a server for the first time. */
  Instant lastDispatch() {
    return abortTime.minus(Durations.shorter(MIN_RUN_TIME, total().dividedBy(MIN_RUN_DIVISOR)));
  }

  /** Returns the delay after which a refused caller should retry. */
  public Duration retryAfter() {
    return RETRY_AFTER;
  }

  private Duration total() {
    return Duration.between(drainStart, abortTime);
  }
}
