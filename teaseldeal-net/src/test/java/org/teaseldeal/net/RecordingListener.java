package org.teaseldeal.net;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Queue;

/** Records each callback of a call as one line of text. */
class RecordingListener implements HttpListener {
  private final Queue<String> recorded;

  RecordingListener(Queue<String> recorded) {
    this.recorded = recorded;
  }

  @Override
  public void onHead(int status, Map<String, String> headers) {
    recorded.add("head %d %s".formatted(status, headers.get("x-method")));
  }

  @Override
  public void onBodyPart(byte[] part) {
    recorded.add("part " + new String(part, StandardCharsets.UTF_8));
  }

  @Override
  public void onEnd(AnswerEnd end) {
    recorded.add("end");
  }

  @Override
  public void onFailure(HttpFailure failure, String detail) {
    recorded.add(failure.name());
  }
}
