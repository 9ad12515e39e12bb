package org.teaseldeal.net;

import io.netty.channel.EventLoop;
import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;

/** Collects a complete answer up to a maximum size. */
final class AnswerCollector implements HttpListener {
  /** A connection that carries fewer bytes than this in an extension is as good as silent. */
  static final int MIN_BYTES_PER_EXTENSION = 4_096;

  private static final Duration GRACE = Duration.ofMillis(50);

  private final int maxBytes;
  private final CallMatcher matcher;
  private final CompletableFuture<HttpAnswer> answer = new CompletableFuture<>();
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private int status;
  private Map<String, String> headers = Map.of();

  AnswerCollector(int maxBytes, CallMatcher matcher) {
    this.maxBytes = maxBytes;
    this.matcher = matcher;
  }

  CompletableFuture<HttpAnswer> answer() {
    return answer;
  }

  /**
   * Fails the future if the answer is incomplete after the timeout, and cancels {@code call} as
   * soon as the future completes in any way.
   */
  void cancelOnCompletion(HttpCall call, Duration timeout) {
    answer.whenComplete((completed, failure) -> call.cancel());
    unlessCompletedAfter(timeout.plus(GRACE), this::failIncomplete);
  }

  /**
   * Fails the future if the answer is incomplete after the timeout, unless it is still arriving:
   * whenever at least {@link #MIN_BYTES_PER_EXTENSION} have come since the last check, it has
   * another {@code extension}. Cancels {@code call} as soon as the future completes in any way.
   */
  void cancelOnCompletionOrSilence(HttpCall call, Duration timeout, Duration extension) {
    answer.whenComplete((completed, failure) -> call.cancel());
    unlessCompletedAfter(timeout.plus(GRACE), () -> extendIfArriving(0, extension));
  }

  private void extendIfArriving(int bytesBefore, Duration extension) {
    int bytes = body.size();
    if (bytes - bytesBefore >= MIN_BYTES_PER_EXTENSION) {
      unlessCompletedAfter(extension, () -> extendIfArriving(bytes, extension));
    } else {
      failIncomplete();
    }
  }

  private void unlessCompletedAfter(Duration delay, Runnable task) {
    EventLoop loop = SharedEventLoops.eventLoopGroup().next();
    Future<?> timer = SharedEventLoops.scheduleAfterPendingInput(loop, delay, task);
    answer.whenComplete((completed, failure) -> timer.cancel(false));
  }

  private void failIncomplete() {
    fail(HttpFailure.BROKEN_ANSWER, "the answer is not whole in time");
  }

  @Override
  public String callName() {
    return matcher.callName();
  }

  @Override
  public AnswerMatch match(int answerStatus, Map<String, String> answerHeaders) {
    return matcher.match(answerHeaders);
  }

  @Override
  public void onHead(int answerStatus, Map<String, String> answerHeaders) {
    status = answerStatus;
    headers = answerHeaders;
  }

  @Override
  public void onBodyPart(byte[] part) {
    if (body.size() + part.length > maxBytes) {
      fail(HttpFailure.BROKEN_ANSWER, "the answer is larger than %d bytes".formatted(maxBytes));
      return;
    }
    body.writeBytes(part);
  }

  @Override
  public void onEnd(AnswerEnd end) {
    answer.complete(new HttpAnswer(status, headers, body.toByteArray()));
  }

  @Override
  public void onFailure(HttpFailure failure, String detail) {
    fail(failure, detail);
  }

  private void fail(HttpFailure failure, String detail) {
    answer.completeExceptionally(new HttpFailureException(failure, detail));
  }
}
