package org.teaseldeal.net;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Queue;

/** Writes down what it is told of an answer, a line for each call. */
class Recorder implements HttpListener {
  private final Queue<String> told;

  Recorder(Queue<String> told) {
    this.told = told;
  }

  @Override
  public void onHead(int status, Map<String, String> headers) {
    told.add("head %d %s".formatted(status, headers.get("x-method")));
  }

  @Override
  public void onPart(byte[] part) {
    told.add("part " + new String(part, StandardCharsets.UTF_8));
  }

  @Override
  public void onEnd() {
    told.add("end");
  }

  @Override
  public void onFailure(HttpFailure failure, String detail) {
    told.add(failure.name());
  }
}
