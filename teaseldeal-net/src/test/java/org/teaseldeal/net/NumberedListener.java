package org.teaseldeal.net;

import java.util.Map;
import java.util.concurrent.LinkedBlockingQueue;

/** Matches answers by the number of their request. */
final class NumberedListener extends RecordingListener {
  private final int number;

  NumberedListener(LinkedBlockingQueue<String> recorded, int number) {
    super(recorded);
    this.number = number;
  }

  @Override
  public String callName() {
    return Integer.toString(number);
  }

  @Override
  public AnswerMatch match(int status, Map<String, String> headers) {
    return AnswerMatch.of(headers.get("request"), Integer.toString(number));
  }
}
