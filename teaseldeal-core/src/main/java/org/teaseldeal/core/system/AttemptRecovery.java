package org.teaseldeal.core.system;

import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.teaseldeal.api.ErrorKind;
import org.teaseldeal.api.Problem;
import org.teaseldeal.core.Counter;
import org.teaseldeal.core.command.InstanceCommand;
import org.teaseldeal.core.part.RerunRule;
import org.teaseldeal.core.table.AttemptRow;
import org.teaseldeal.core.table.PoolRow;
import org.teaseldeal.core.table.RequestRow;
import org.teaseldeal.core.table.Stage;

/**
 * Decides how a request continues after an attempt ended without its answer.
 *
 * <p>The request is tried again only if that can't run it twice or mix two answers. Otherwise its
 * caller is told what is known about whether it ran.
 */
final class AttemptRecovery {
  private final Context context;
  private final RequestCompletion completion;
  private final SettlementSystem settlement;
  private final QuarantineSystem quarantine;
  private final RerunRule rerunRule;
  private final Consumer<RequestRow> retry;

  AttemptRecovery(
      Context context,
      RequestCompletion completion,
      SettlementSystem settlement,
      QuarantineSystem quarantine,
      RerunRule rerunRule,
      Consumer<RequestRow> retry) {
    this.context = context;
    this.completion = completion;
    this.settlement = settlement;
    this.quarantine = quarantine;
    this.rerunRule = rerunRule;
    this.retry = retry;
  }

  /** Handles an attempt that the server ran and answered with an error. */
  void onServerError(AttemptRow attempt, String detail) {
    remove(attempt);
    settlement.abandon(attempt, false);
    RequestRow request = attempt.request;
    request.attempt = null;
    request.mayHaveRun = true;
    completion.fail(request, ErrorKind.BACKEND_REFUSED, detail);
  }

  /** Handles an attempt that did not run. Its reserved tokens are used for the next attempt. */
  void onNotRun(AttemptRow attempt, ErrorKind kind, String detail) {
    remove(attempt);
    RequestRow request = attempt.request;
    request.attempt = null;
    request.reservation = attempt.reservation;
    // A refused connection gave no server any work, so the retry adds none. The retry budget limits
    // only retries that add work.
    boolean unsent = kind == ErrorKind.NO_BACKEND_SERVER;
    if (mayRetry(request, unsent)) {
      request.stage = Stage.WAITING_FOR_TOKENS;
      retry.accept(request);
      return;
    }
    completion.fail(request, kind, detail, context.limits().retryAfter());
  }

  /**
   * Abandons a run that may have taken place. Its tokens stay reserved until its usage is known.
   */
  void abandon(AttemptRow attempt, String detail) {
    remove(attempt);
    cancel(attempt);
    settlement.abandon(attempt, false);
    RequestRow request = attempt.request;
    request.attempt = null;
    request.mayHaveRun = true;
    request.triedServers.add(attempt.server.id);
    if (request.streams() && request.framesSent > 0) {
      completion.fail(request, ErrorKind.STREAM_BROKEN, detail);
      return;
    }
    if (quarantine.isQuarantined(request.fingerprint)) {
      completion.fail(
          request, ErrorKind.QUARANTINED, "it was in flight on two servers as they failed");
      return;
    }
    if (rerunRule.mayRerun(request.service) && !request.detached && mayRetry(request, false)) {
      request.frames.clear();
      request.frameBytes = 0;
      request.stage = Stage.WAITING_FOR_TOKENS;
      retry.accept(request);
      return;
    }
    completion.fail(request, ErrorKind.BACKEND_FAILED, detail);
  }

  private boolean mayRetry(RequestRow request, boolean unsent) {
    PoolRow pool = context.tables.pools.get(request.service.pool());
    boolean allowed =
        request.attempts < context.limits().maxAttempts()
            && context.now().isBefore(request.deadline)
            && pool != null
            && (unsent || pool.retryBudget.tryRetry());
    if (allowed) {
      context.count(Counter.RETRIES);
    }
    return allowed;
  }

  /**
   * Ends a request whose caller closed its connection, or whose deadline has passed if {@code
   * problem} is given.
   */
  void endEarly(RequestRow request, @Nullable Problem problem) {
    AttemptRow attempt = request.attempt;
    if (attempt == null) {
      completion.endWithoutAnswer(request);
      return;
    }
    // A claimed request is not run again for the caller's next try, so the run continues and its
    // answer is stored. If the run were cancelled, the caller could never learn the outcome.
    if (request.claimHeld) {
      if (problem != null && !request.detached) {
        completion.detach(request, problem);
      }
      request.detached = true;
      context.tables.requestsByDeadline.remove(request);
      return;
    }
    remove(attempt);
    cancel(attempt);
    settlement.abandon(attempt, problem == null);
    request.attempt = null;
    request.mayHaveRun = true;
    if (problem == null) {
      completion.endWithoutAnswer(request);
    } else {
      completion.fail(request, problem.kind(), problem.detail());
    }
  }

  /**
   * Stops a run whose result is no longer needed.
   *
   * <p>Two calls with the same idempotency key share one run at an engine. Cancelling the run for
   * one call would cut off the answer of the other, so a shared run only loses this connection.
   */
  private void cancel(AttemptRow attempt) {
    RequestRow request = attempt.request;
    boolean shared =
        request.keyed
            && context.tables.runningAttempts.values().stream()
                .anyMatch(
                    other -> other.server == attempt.server && other.request.id.equals(request.id));
    context.emit(
        shared
            ? new InstanceCommand.DropAttempt(attempt.id)
            : new InstanceCommand.CancelAttempt(attempt.id, request.id, attempt.server.address));
  }

  /** Removes an attempt from the table and from its server's count of requests in flight. */
  void remove(AttemptRow attempt) {
    context.tables.attempts.remove(attempt.id);
    context.tables.runningAttempts.remove(attempt.id.number());
    attempt.server.outstandingHere--;
  }
}
