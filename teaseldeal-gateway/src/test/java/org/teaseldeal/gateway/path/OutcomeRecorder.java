package org.teaseldeal.gateway.path;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.LinkedBlockingQueue;
import org.teaseldeal.net.AnswerEnd;
import org.teaseldeal.net.HttpFailure;
import org.teaseldeal.net.HttpListener;

/** Records the head of an answer and how the answer ends. */
class OutcomeRecorder implements HttpListener {
  private final LinkedBlockingQueue<String> outcomes = new LinkedBlockingQueue<>();

  /** Waits for the end of the call, and returns what was reported up to it. */
  List<String> awaitEnd() throws InterruptedException {
    List<String> events = new ArrayList<>();
    do {
      events.add(outcomes.take());
    } while (events.getLast().startsWith("head"));
    return events;
  }

  @Override
  public void onHead(int status, Map<String, String> headers) {
    outcomes.add("head " + status);
  }

  @Override
  public void onBodyPart(byte[] part) {}

  @Override
  public void onEnd(AnswerEnd end) {
    outcomes.add("end");
  }

  @Override
  public void onFailure(HttpFailure failure, String detail) {
    outcomes.add(failure.name());
  }
}
