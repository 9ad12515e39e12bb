package org.teaseldeal.bench.cost;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.teaseldeal.net.AnswerEnd;
import org.teaseldeal.net.HttpFailure;
import org.teaseldeal.net.HttpListener;

/** Records the arrival times of the first part and the end of an answer. */
final class AnswerTimer implements HttpListener {
  private static final String DONE = "[DONE]";

  /** The times in microseconds since the request was sent, and whether the answer was complete. */
  record Times(long toFirst, long toEnd, boolean isComplete) {}

  final CompletableFuture<Times> times = new CompletableFuture<>();
  private final StringBuilder text = new StringBuilder();
  private final long start = System.nanoTime();
  private long first;
  private boolean accepted;

  @Override
  public void onHead(int status, Map<String, String> headers) {
    accepted = status == 200;
  }

  @Override
  public void onBodyPart(byte[] part) {
    if (first == 0) {
      first = micros();
    }
    text.append(new String(part, StandardCharsets.US_ASCII));
  }

  @Override
  public void onEnd(AnswerEnd end) {
    times.complete(new Times(first, micros(), accepted && text.indexOf(DONE) >= 0));
  }

  @Override
  public void onFailure(HttpFailure failure, String detail) {
    times.complete(new Times(0, 0, false));
  }

  private long micros() {
    return (System.nanoTime() - start) / 1000;
  }
}
