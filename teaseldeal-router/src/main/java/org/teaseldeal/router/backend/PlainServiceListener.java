package org.teaseldeal.router.backend;

import java.io.ByteArrayOutputStream;
import java.util.Map;
import java.util.function.Consumer;
import org.teaseldeal.api.AttemptId;
import org.teaseldeal.core.AttemptFailure;
import org.teaseldeal.core.event.InstanceEvent;
import org.teaseldeal.net.AnswerEnd;
import org.teaseldeal.net.EventSplitter;

/** Buffers the answer of a plain service and publishes it as one event. */
final class PlainServiceListener extends AttemptListener {
  private final int maxBytes;
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private int status;
  private String contentType = "";

  PlainServiceListener(
      AttemptId attempt,
      int maxBytes,
      Consumer<InstanceEvent> events,
      Runnable onCompletion,
      Runnable closeConnection) {
    super(attempt, events, onCompletion, closeConnection);
    this.maxBytes = maxBytes;
  }

  @Override
  public void onHead(int answerStatus, Map<String, String> headers) {
    status = answerStatus;
    contentType = headers.getOrDefault("content-type", "");
    // Without the header, the service may have run the call before it answered with this status.
    if ((status == 429 || status == 503) && hasHeader(headers, "not-run", "true")) {
      fail(AttemptFailure.REFUSED_BY_SERVER, "the service did not run the call, status " + status);
    }
  }

  @Override
  void onBody(byte[] part) {
    if (body.size() + part.length > maxBytes) {
      failAndClose(
          AttemptFailure.LOST_MID_ANSWER,
          "the service's answer is larger than %d bytes".formatted(maxBytes));
      return;
    }
    body.writeBytes(part);
  }

  @Override
  public void onEnd(AnswerEnd end) {
    if (isCompleted()) {
      return;
    }
    if (EventSplitter.isEventStream(contentType) && isBrokenOff(end)) {
      fail(AttemptFailure.LOST_MID_ANSWER, "the service's stream ended inside an event");
      return;
    }
    complete(
        new InstanceEvent.PlainAnswerReceived(attempt(), status, contentType, body.toByteArray()));
  }

  private boolean isBrokenOff(AnswerEnd end) {
    EventSplitter splitter = new EventSplitter();
    splitter.add(body.toByteArray());
    return splitter.isBrokenOff(end);
  }
}
