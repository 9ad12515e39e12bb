package org.teaseldeal.core.system;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.OptionalLong;
import org.teaseldeal.api.ErrorKind;
import org.teaseldeal.api.Problem;
import org.teaseldeal.api.Usage;
import org.teaseldeal.core.AttemptFailure;
import org.teaseldeal.core.Counter;
import org.teaseldeal.core.command.InstanceCommand;
import org.teaseldeal.core.event.InstanceEvent;
import org.teaseldeal.core.part.FrameFilter;
import org.teaseldeal.core.table.AttemptRow;
import org.teaseldeal.core.table.RequestRow;
import org.teaseldeal.core.table.ServerRow;
import org.teaseldeal.core.table.Stage;
import org.teaseldeal.settings.FleetSettings;

/**
 * Tracks each attempt until it is answered, resumes it from the exact position, or abandons it.
 *
 * <p>A frame is accepted only if its attempt is the current one and its position is the next one.
 * Otherwise, late frames of an abandoned connection or misdirected frames of another request would
 * be mixed into the caller's answer.
 */
final class AttemptSystem {
  private static final Duration DEFAULT_PROGRESS_TIMEOUT = Duration.ofSeconds(10);
  private static final Duration UNREACHABLE_DURATION = Duration.ofSeconds(1);
  private static final Duration CHECK_INTERVAL = Duration.ofMillis(20);

  private final Context context;
  private final SettingsView settings;
  private final SettlementSystem settlement;
  private final QuarantineSystem quarantine;
  private final LoadSystem load;
  private final AttemptRecovery recovery;
  private final FrameFilter frameFilter;
  private Instant checkedAt = Instant.EPOCH;

  AttemptSystem(
      Context context,
      SettingsView settings,
      SettlementSystem settlement,
      QuarantineSystem quarantine,
      LoadSystem load,
      AttemptRecovery recovery,
      FrameFilter frameFilter) {
    this.context = context;
    this.settings = settings;
    this.settlement = settlement;
    this.quarantine = quarantine;
    this.load = load;
    this.recovery = recovery;
    this.frameFilter = frameFilter;
  }

  void start(RequestRow request, ServerRow server) {
    AttemptRow attempt =
        new AttemptRow(request, server, request.reservation, context.nextAttempt(), context.now());
    request.reservation = null;
    request.attempt = attempt;
    request.stage = Stage.RUNNING;
    request.attempts++;
    server.outstandingHere++;
    context.count(Counter.ATTEMPTS);
    open(attempt, OptionalLong.empty());
  }

  private void open(AttemptRow attempt, OptionalLong resumeFrom) {
    RequestRow request = attempt.request;
    attempt.nextResumeAt = null;
    attempt.lastProgressAt = context.now();
    context.tables.attempts.put(attempt.id, attempt);
    context.tables.runningAttempts.put(attempt.id.number(), attempt);
    context.emit(
        new InstanceCommand.StartAttempt(
            attempt.id,
            request.id,
            attempt.server.id,
            attempt.server.address,
            request.payload,
            request.isModel() ? request.service.model() : "",
            request.outputCap,
            request.service.priority().rank(),
            resumeFrom));
  }

  void onFrame(InstanceEvent.FrameReceived event) {
    AttemptRow attempt = context.tables.attempts.get(event.attempt());
    if (attempt == null) {
      context.count(Counter.DROPPED_FRAMES);
      return;
    }
    switch (frameFilter.classify(attempt.nextPosition, event.position())) {
      case NEXT -> onNextFrame(attempt, event.data());
      case DUPLICATE -> context.count(Counter.DROPPED_FRAMES);
      case GAP -> {
        context.count(Counter.DROPPED_FRAMES);
        dropAndResume(attempt, context.now());
      }
    }
  }

  private void onNextFrame(AttemptRow attempt, byte[] data) {
    attempt.nextPosition++;
    attempt.mayHaveRun = true;
    attempt.resumesSinceProgress = 0;
    attempt.lastProgressAt = context.now();
    context.count(Counter.FRAMES);
    forward(attempt.request, data);
  }

  private void forward(RequestRow request, byte[] data) {
    buffer(request, data);
    if (request.streams()) {
      request.framesSent++;
      if (!request.detached) {
        context.emit(new InstanceCommand.SendFrame(request.call, request.id, data));
      }
    }
  }

  /**
   * Buffers frames for a caller that wants the answer as one body, and for storing with a claim as
   * long as the answer is small enough.
   */
  private void buffer(RequestRow request, byte[] data) {
    if (request.streams() && !request.claimHeld) {
      return;
    }
    request.frameBytes += data.length;
    boolean tooLong = request.frameBytes > context.limits().maxStoredAnswerBytes();
    if (request.streams() && tooLong) {
      request.frames.clear();
    } else {
      request.frames.add(data);
    }
  }

  void onFinished(InstanceEvent.StreamFinished event) {
    AttemptRow attempt = context.tables.attempts.get(event.attempt());
    if (attempt == null) {
      context.count(Counter.DROPPED_ATTEMPT_EVENTS);
      return;
    }
    if (attempt.nextPosition != event.frames()) {
      dropAndResume(attempt, context.now());
      return;
    }
    recovery.remove(attempt);
    load.onAnswered(attempt, event.usage());
    settlement.settleAnswer(attempt, event.usage());
  }

  void onPlainAnswer(InstanceEvent.PlainAnswerReceived event) {
    AttemptRow attempt = context.tables.attempts.get(event.attempt());
    if (attempt == null || attempt.request.isModel()) {
      context.count(Counter.DROPPED_ATTEMPT_EVENTS);
      return;
    }
    RequestRow request = attempt.request;
    request.answerStatus = event.status();
    request.answerContentType = event.contentType();
    request.answerBody = event.body();
    recovery.remove(attempt);
    Usage usage = new Usage(request.service.tokensPerCall(), 0);
    load.onAnswered(attempt, usage);
    settlement.settleAnswer(attempt, usage);
  }

  void onFailed(InstanceEvent.AttemptFailed event) {
    AttemptRow attempt = context.tables.attempts.get(event.attempt());
    if (event.failure() == AttemptFailure.NOT_SENT && attempt != null) {
      attempt.server.unreachableUntil = context.now().plus(UNREACHABLE_DURATION);
      quarantine.onServerDown(attempt.server.id);
    }
    if (attempt == null) {
      context.count(Counter.DROPPED_ATTEMPT_EVENTS);
      return;
    }
    load.onFailed(attempt);
    attempt.mayHaveRun |= event.failure().mayHaveRun();
    switch (event.failure()) {
      case NOT_SENT -> {
        if (attempt.mayHaveRun) {
          resumeLater(attempt);
        } else {
          recovery.onNotRun(attempt, ErrorKind.NO_BACKEND_SERVER, event.detail());
        }
      }
      case REFUSED_BY_SERVER -> {
        if (attempt.mayHaveRun) {
          resumeLater(attempt);
        } else {
          recovery.onNotRun(attempt, ErrorKind.OVERLOADED, event.detail());
        }
      }
      case LOST_BEFORE_ANSWER, LOST_MID_ANSWER -> onConnectionLost(attempt, event.detail());
      case SERVER_ERROR -> recovery.onServerError(attempt, event.detail());
      case RESUME_UNKNOWN -> {
        quarantine.onServerDown(attempt.server.id);
        recovery.abandon(attempt, event.detail());
      }
    }
  }

  private void onConnectionLost(AttemptRow attempt, String detail) {
    quarantine.onConnectionLost(attempt.request.fingerprint, attempt.server.id);
    if (attempt.request.isModel()) {
      resumeLater(attempt);
    } else {
      recovery.abandon(attempt, detail);
    }
  }

  private void dropAndResume(AttemptRow attempt, Instant at) {
    context.emit(new InstanceCommand.DropAttempt(attempt.id));
    resumeAt(attempt, at);
  }

  private void resumeLater(AttemptRow attempt) {
    boolean first = attempt.resumesSinceProgress == 0;
    Instant now = context.now();
    resumeAt(attempt, first ? now : now.plus(context.limits().resumeDelay()));
  }

  private void resumeAt(AttemptRow attempt, Instant at) {
    if (!attempt.request.isModel()
        || attempt.resumesSinceProgress >= context.limits().maxResumes()) {
      recovery.abandon(
          attempt, "no frame came after %d resumes".formatted(attempt.resumesSinceProgress));
      return;
    }
    context.tables.attempts.remove(attempt.id);
    attempt.resumesSinceProgress++;
    attempt.nextResumeAt = at;
    if (!at.isAfter(context.now())) {
      resume(attempt);
    }
  }

  private void resume(AttemptRow attempt) {
    context.count(Counter.RESUMES);
    context.tables.runningAttempts.remove(attempt.id.number());
    attempt.id = context.nextAttempt();
    open(attempt, OptionalLong.of(attempt.nextPosition));
  }

  /**
   * Resumes the attempts whose resume is due and those that made no progress within the timeout.
   */
  void run() {
    Instant now = context.now();
    if (now.isBefore(checkedAt.plus(CHECK_INTERVAL))) {
      return;
    }
    checkedAt = now;
    Duration timeout =
        settings.fleet().map(FleetSettings::progressTimeout).orElse(DEFAULT_PROGRESS_TIMEOUT);
    for (AttemptRow attempt : List.copyOf(context.tables.runningAttempts.values())) {
      Instant due = attempt.nextResumeAt;
      if (due != null) {
        if (!now.isBefore(due)) {
          resume(attempt);
        }
      } else if (isSilent(attempt, now, timeout)) {
        attempt.mayHaveRun = true;
        load.onFailed(attempt);
        dropAndResume(attempt, now);
      }
    }
  }

  /**
   * Returns whether an attempt has made no progress within the timeout. A plain call shows no
   * progress before its answer, so its timeout starts at the caller's deadline. This also bounds a
   * call that continues only so that its outcome can be stored.
   */
  private static boolean isSilent(AttemptRow attempt, Instant now, Duration timeout) {
    Instant last = attempt.lastProgressAt;
    RequestRow request = attempt.request;
    if (!request.isModel() && request.deadline.isAfter(last)) {
      last = request.deadline;
    }
    return !now.isBefore(last.plus(timeout));
  }

  /** Handles a caller that closed its connection. */
  void onCallerDisconnected(RequestRow request) {
    context.count(Counter.CALLERS_GONE);
    recovery.endEarly(request, null);
  }

  /** Handles a request in progress whose deadline has passed. */
  void onDeadline(RequestRow request) {
    recovery.endEarly(
        request, Problem.of(ErrorKind.DEADLINE_PASSED, "no whole answer came in time"));
  }
}
