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
    String named = headers.get("request");
    if (named == null) {
      return AnswerMatch.UNNAMED;
    }
    return named.equals(Integer.toString(number)) ? AnswerMatch.THIS_CALL : AnswerMatch.OTHER_CALL;
  }
}
