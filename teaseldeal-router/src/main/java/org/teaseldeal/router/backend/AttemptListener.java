package org.teaseldeal.router.backend;

import java.util.Map;
import java.util.function.Consumer;
import org.teaseldeal.api.AttemptId;
import org.teaseldeal.cli.log.LogLine;
import org.teaseldeal.core.AttemptFailure;
import org.teaseldeal.core.event.InstanceEvent;
import org.teaseldeal.net.AnswerMatch;
import org.teaseldeal.net.AnswerOrigin;
import org.teaseldeal.net.CallMatcher;
import org.teaseldeal.net.HttpFailure;
import org.teaseldeal.net.HttpListener;

/**
 * Base class of the listeners for the answer to an attempt.
 *
 * <p>It publishes exactly one final event for each attempt.
 */
abstract class AttemptListener implements HttpListener {
  /** The most bytes of an answer that are read after the attempt has completed. */
  private static final int MAX_DRAINED_BYTES = 1 << 16;

  private final AttemptId attempt;
  private final CallMatcher matcher;
  private final Consumer<InstanceEvent> events;
  private final Runnable onCompletion;
  private final Runnable closeConnection;
  private volatile boolean completed;
  private int drainedBytes;

  /**
   * Creates a listener.
   *
   * @param attempt the attempt that is answered
   * @param events receives the events of the attempt
   * @param onCompletion run when the attempt has completed, before its final event is published
   * @param closeConnection closes the connection of the attempt
   */
  AttemptListener(
      AttemptId attempt,
      Consumer<InstanceEvent> events,
      Runnable onCompletion,
      Runnable closeConnection) {
    this.attempt = attempt;
    this.matcher = BackendCalls.matcher(attempt);
    this.events = events;
    this.onCompletion = onCompletion;
    this.closeConnection = closeConnection;
  }

  AttemptId attempt() {
    return attempt;
  }

  boolean isCompleted() {
    return completed;
  }

  void publish(InstanceEvent event) {
    events.accept(event);
  }

  void complete(InstanceEvent finalEvent) {
    if (completed) {
      return;
    }
    completed = true;
    onCompletion.run();
    events.accept(finalEvent);
  }

  /** Fails the attempt and closes its connection, because the rest of the answer is not needed. */
  void failAndClose(AttemptFailure failure, String detail) {
    fail(failure, detail);
    closeConnection.run();
  }

  @Override
  public final String callName() {
    return matcher.callName();
  }

  @Override
  public final AnswerMatch match(int status, Map<String, String> headers) {
    return matcher.match(headers);
  }

  @Override
  public final void onSkipped(int status, Map<String, String> headers, AnswerOrigin origin) {
    LogLine.of("the answer to another attempt was skipped")
        .with("attempt", attempt)
        .with("answered", headers.getOrDefault(matcher.header(), ""))
        .with("status", status)
        .with("connection", origin.connection())
        .warn();
  }

  /** Handles a part of the answer's body; not called once the attempt has completed. */
  abstract void onBody(byte[] part);

  @Override
  public final void onBodyPart(byte[] part) {
    if (!completed) {
      onBody(part);
      return;
    }
    // A short rest of the answer is read to its end, so that the connection can be reused. Reading
    // a long one would cost more than a new connection.
    drainedBytes += part.length;
    if (drainedBytes > MAX_DRAINED_BYTES) {
      closeConnection.run();
    }
  }

  void fail(AttemptFailure failure, String detail) {
    complete(new InstanceEvent.AttemptFailed(attempt, failure, detail));
  }

  @Override
  public final void onFailure(HttpFailure failure, String detail) {
    fail(
        switch (failure) {
          case NOT_SENT -> AttemptFailure.NOT_SENT;
          case NO_ANSWER -> AttemptFailure.LOST_BEFORE_ANSWER;
          case BROKEN_ANSWER -> AttemptFailure.LOST_MID_ANSWER;
        },
        detail);
  }

  /** Returns whether the header {@code name} has the given value, ignoring case. */
  static boolean hasHeader(Map<String, String> headers, String name, String value) {
    return value.equalsIgnoreCase(headers.get(name));
  }
}
