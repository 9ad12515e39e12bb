package org.teaseldeal.net;

import io.netty.channel.EventLoop;
import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;

/** Collects a complete answer up to a maximum size. */
final class AnswerCollector implements HttpListener {
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
    EventLoop loop = SharedEventLoops.eventLoopGroup().next();
    Future<?> timer =
        SharedEventLoops.scheduleAfterPendingInput(
            loop,
            timeout.plusMillis(50),
            () -> fail(HttpFailure.BROKEN_ANSWER, "the answer is not whole in time"));
    answer.whenComplete(
        (completed, failure) -> {
          timer.cancel(false);
          call.cancel();
        });
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
