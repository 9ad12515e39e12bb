package org.teaseldeal.gateway.path;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.teaseldeal.gateway.path.RelayMessages.Result;
import org.teaseldeal.net.AnswerEnd;
import org.teaseldeal.net.AnswerMatch;
import org.teaseldeal.net.AnswerOrigin;
import org.teaseldeal.net.HttpFailure;
import org.teaseldeal.net.HttpListener;

/**
 * Translates a relay's answer into the backend server's answer or the reason that there is none.
 */
final class RelayedCall implements HttpListener {
  /** Receives what became of the request besides its answer. */
  interface Outcome {
    /** Called when the relay has passed on the head of the server's answer. */
    void onAnswered(int status, Map<String, String> headers);

    /** Called if the relay did not send the request and another instance may. */
    void onRefused(String detail);

    /**
     * Called if the relay works but can't send to this server, as its list doesn't contain it.
     * Another instance may.
     */
    void onNotSendable(String detail);

    /**
     * Called if the relay has used its share of what the server takes. Another instance may have
     * room.
     *
     * @param noRoomFor how long the relay has no room; zero if it doesn't say it
     */
    void onNoRoom(Duration noRoomFor, String detail);

    /** Called if the relay could not connect to the server. */
    void onUnreachable(String detail);

    /** Called if the request may have reached the server and its answer did not begin. */
    void onNoAnswer(String detail);
  }

  private static final int MAX_DETAIL_BYTES = 4 << 10;

  private final long number;
  private final HttpListener listener;
  private final Outcome outcome;
  private final ByteArrayOutputStream detail = new ByteArrayOutputStream(0);
  private @Nullable Result result;
  private Duration noRoomFor = Duration.ZERO;
  private AnswerEnd announcedEnd = AnswerEnd.CONNECTION_CLOSED;

  /**
   * Creates a call.
   *
   * @param number the number that the relay's answer repeats
   * @param listener receives the answer of the backend server
   */
  RelayedCall(long number, HttpListener listener, Outcome outcome) {
    this.number = number;
    this.listener = listener;
    this.outcome = outcome;
  }

  @Override
  public String callName() {
    return listener.callName();
  }

  @Override
  public AnswerMatch match(int status, Map<String, String> headers) {
    AnswerMatch relayed = RelayMessages.match(number, headers);
    boolean fromServer = RelayMessages.result(status, headers) == Result.ANSWER;
    return relayed == AnswerMatch.UNNAMED && fromServer
        ? listener.match(status, RelayMessages.withoutRelayHeaders(headers))
        : relayed;
  }

  @Override
  public void onSkipped(int status, Map<String, String> headers, AnswerOrigin origin) {
    listener.onSkipped(status, RelayMessages.withoutRelayHeaders(headers), origin);
  }

  @Override
  public void onHead(int status, Map<String, String> headers) {
    result = RelayMessages.result(status, headers);
    if (result == Result.NO_ROOM) {
      noRoomFor = RelayMessages.noRoomFor(headers);
    } else if (result == Result.ANSWER) {
      announcedEnd = RelayMessages.answerEnd(headers);
      onServerHead(status, RelayMessages.withoutRelayHeaders(headers));
    }
  }

  private void onServerHead(int status, Map<String, String> headers) {
    if (listener.match(status, headers) == AnswerMatch.OTHER_CALL) {
      result = Result.NO_ANSWER;
      return;
    }
    outcome.onAnswered(status, headers);
    listener.onHead(status, headers);
  }

  @Override
  public void onBodyPart(byte[] part) {
    if (result == Result.ANSWER) {
      listener.onBodyPart(part);
    } else if (detail.size() + part.length <= MAX_DETAIL_BYTES) {
      detail.writeBytes(part);
    }
  }

  @Override
  public void onEnd(AnswerEnd end) {
    String text = detail.toString(StandardCharsets.UTF_8);
    switch (result) {
      case ANSWER -> {
        if (end.isMarkedByFraming()) {
          listener.onEnd(announcedEnd);
        } else {
          listener.onFailure(HttpFailure.BROKEN_ANSWER, "nothing marked the end of the answer");
        }
      }
      case NOT_LISTED -> outcome.onNotSendable(text);
      case NO_ROOM -> outcome.onNoRoom(noRoomFor, text);
      case UNREACHABLE -> outcome.onUnreachable(text);
      case NO_ANSWER -> outcome.onNoAnswer(text);
      case null, default -> outcome.onRefused(text);
    }
  }

  @Override
  public void onFailure(HttpFailure failure, String text) {
    if (failure == HttpFailure.NOT_SENT) {
      outcome.onRefused(text);
    } else if (result == Result.ANSWER) {
      listener.onFailure(HttpFailure.BROKEN_ANSWER, text);
    } else if (result != null && result.provesNotSent()) {
      outcome.onRefused(text);
    } else {
      outcome.onNoAnswer(text);
    }
  }
}
