package org.teaseldeal.core.system;

import java.time.Duration;
import org.teaseldeal.api.ErrorKind;
import org.teaseldeal.api.Problem;
import org.teaseldeal.api.RequestId;
import org.teaseldeal.api.RunStatus;
import org.teaseldeal.core.CallId;
import org.teaseldeal.core.Counter;
import org.teaseldeal.core.command.InstanceCommand;
import org.teaseldeal.core.table.BudgetRow;
import org.teaseldeal.core.table.PoolRow;
import org.teaseldeal.core.table.RequestRow;
import org.teaseldeal.core.table.Stage;
import org.teaseldeal.ledger.entry.Entry;
import org.teaseldeal.ledger.lease.Reservation;

/** Sends callers their final answers and releases the resources that their requests held. */
final class RequestCompletion {
  private final Context context;
  private final LedgerSystem ledger;

  RequestCompletion(Context context, LedgerSystem ledger) {
    this.context = context;
    this.ledger = ledger;
  }

  /** Refuses a call before a request row exists for it. */
  void refuse(CallId call, RequestId request, Problem problem) {
    context.count(Counter.REFUSALS);
    context.counters.countProblem(problem.kind());
    context.emit(new InstanceCommand.RefuseCall(call, request, problem));
  }

  /** Ends a request with an error that matches what is known about whether it ran. */
  void fail(RequestRow request, ErrorKind kind, String detail) {
    fail(request, Problem.of(kind, detail));
  }

  /** Ends a request with a retryable error that matches what is known about whether it ran. */
  void fail(RequestRow request, ErrorKind kind, String detail, Duration retryAfter) {
    fail(request, Problem.retryable(kind, detail, retryAfter));
  }

  private void fail(RequestRow request, Problem problem) {
    if (request.stage == Stage.ENDED) {
      return;
    }
    Problem sent = withAccurateRunStatus(request, problem);
    if (!request.detached) {
      sendProblem(request, sent);
    }
    end(request, sent.kind().label());
    resolveClaim(request, sent);
  }

  /** Ends a request without an answer, because its caller has closed the connection. */
  void endWithoutAnswer(RequestRow request) {
    if (request.stage == Stage.ENDED) {
      return;
    }
    end(request, "caller-gone");
    resolveClaim(request, Problem.of(ErrorKind.OUTCOME_UNKNOWN, "the caller went away"));
  }

  /**
   * Sends the caller a problem as its final answer while the run continues so that its outcome can
   * be stored.
   */
  void detach(RequestRow request, Problem problem) {
    sendProblem(request, withAccurateRunStatus(request, problem));
    request.detached = true;
  }

  /** Sends the caller the end of its complete answer. */
  void answer(RequestRow request) {
    if (!request.detached) {
      context.count(Counter.ANSWERS);
      emitAnswer(request);
    }
    end(request, "answered");
  }

  private void emitAnswer(RequestRow request) {
    if (!request.isModel()) {
      context.emit(
          new InstanceCommand.AnswerPlain(
              request.call,
              request.id,
              request.answerStatus,
              request.answerContentType,
              request.answerBody));
      return;
    }
    if (!request.streams()) {
      request.frames.forEach(
          frame -> context.emit(new InstanceCommand.SendFrame(request.call, request.id, frame)));
    }
    if (request.usage != null) {
      context.emit(new InstanceCommand.FinishStream(request.call, request.id, request.usage));
    }
  }

  private void sendProblem(RequestRow request, Problem problem) {
    context.counters.countProblem(problem.kind());
    if (request.streams() && request.framesSent > 0) {
      context.count(Counter.BROKEN_STREAMS);
      context.emit(new InstanceCommand.AbortStream(request.call, request.id, problem));
      return;
    }
    context.count(Counter.REFUSALS);
    context.emit(new InstanceCommand.RefuseCall(request.call, request.id, problem));
  }

  /**
   * Replaces an error that states "not run" if an attempt may have run.
   *
   * <p>After a lost attempt, a retry can fail for lack of tokens or servers. A caller that is then
   * told "not run" would send the request again, and it could run twice.
   */
  private static Problem withAccurateRunStatus(RequestRow request, Problem problem) {
    boolean mayHaveRun = request.mayHaveRun || request.attempt != null;
    if (!mayHaveRun || problem.kind().runStatus() != RunStatus.NOT_RUN) {
      return request.keyed ? problem.forKeyedRequest() : problem;
    }
    return Problem.of(ErrorKind.BACKEND_FAILED, "an attempt was lost, then: " + problem.detail());
  }

  private void end(RequestRow request, String outcome) {
    context.emit(
        new InstanceCommand.RequestEnded(
            request.id,
            request.service.id(),
            request.customer.id(),
            outcome,
            request.attempts,
            ledger.settingsRevision()));
    removeFromQueues(request);
    request.stage = Stage.ENDED;
    Reservation unusedReservation = request.reservation;
    if (unusedReservation != null) {
      ledger.leases(request.service.id()).release(unusedReservation);
      request.reservation = null;
    }
    context.tables.requests.remove(request.call);
    context.tables.requestsByDeadline.remove(request);
  }

  private void removeFromQueues(RequestRow request) {
    BudgetRow budget = context.tables.budgets.get(request.service.id());
    if (request.stage == Stage.WAITING_FOR_TOKENS && budget != null) {
      budget.waiting.remove(request);
    }
    PoolRow pool = context.tables.pools.get(request.service.pool());
    if (request.stage == Stage.QUEUED && pool != null) {
      pool.queue.remove(request);
    }
  }

  /**
   * Releases the claim if no attempt was made, and otherwise stores that the outcome is unknown.
   *
   * <p>A claim that has not been read back yet is released when it is read back as won.
   */
  private void resolveClaim(RequestRow request, Problem sent) {
    if (!request.claimHeld || request.claimKey == null) {
      return;
    }
    request.claimHeld = false;
    if (request.mayHaveRun || request.attempt != null) {
      ledger.submit(
          request.service.id().team(), StoredAnswer.unknown(request.claimKey, sent.detail()));
      return;
    }
    context.count(Counter.CLAIMS_RELEASED);
    ledger.submit(request.service.id().team(), new Entry.ReleaseClaim(request.claimKey));
  }
}
