package org.teaseldeal.net;

import java.util.Map;
import java.util.concurrent.LinkedBlockingQueue;

/** Matches answers by the number of their request. */
final class NumberedListener extends RecordingListener {
  private static final int REJECTION = 503;

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
    if (!named.equals(Integer.toString(number))) {
      return AnswerMatch.OTHER_CALL;
    }
    return status == REJECTION ? AnswerMatch.THIS_CALL_REJECTED : AnswerMatch.THIS_CALL;
  }
}
