package org.teaseldeal.model;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.teaseldeal.net.HttpExchange;
import org.teaseldeal.net.ResponseStream;

/** One attempt of a caller at one instance, and how its answer comes back. */
final class ModelExchange implements HttpExchange {
  /** Hears what the instance answers, in order. */
  interface Answers {
    void onWhole(int status, Map<String, String> headers);

    void onPart();

    void onEnd();

    /** The connection is closed without a whole answer. */
    void onBroken();
  }

  private final String attemptId;
  private final ModelRequest request;
  private final Duration timeLeft;
  private final Answers answers;
  private Runnable callerGone = () -> {};
  private boolean answered;
  private boolean over;

  ModelExchange(String attemptId, ModelRequest request, Duration timeLeft, Answers answers) {
    this.attemptId = attemptId;
    this.request = request;
    this.timeLeft = timeLeft;
    this.answers = answers;
  }

  String attemptId() {
    return attemptId;
  }

  ModelRequest request() {
    return request;
  }

  Duration timeLeft() {
    return timeLeft;
  }

  /** Whether its answer has ended. */
  boolean over() {
    return over;
  }

  /** The caller closes its connection. */
  void leave() {
    if (!over) {
      over = true;
      callerGone.run();
    }
  }

  /** The instance's process is gone. */
  void lose() {
    if (!over) {
      over = true;
      answers.onBroken();
    }
  }

  @Override
  public String method() {
    return "POST";
  }

  @Override
  public String path() {
    return ModelDialect.path(request.kind()) + request.number();
  }

  @Override
  public Optional<String> header(String name) {
    return Optional.empty();
  }

  @Override
  public List<Map.Entry<String, String>> headers() {
    return List.of();
  }

  @Override
  public byte[] body() {
    return new byte[0];
  }

  @Override
  public Duration timeSinceHead() {
    return Duration.ZERO;
  }

  @Override
  public String remoteAddress() {
    return "caller";
  }

  @Override
  public void respond(int status, Map<String, String> headers, byte[] body) {
    begin();
    if (!over) {
      over = true;
      answers.onWhole(status, headers);
    }
  }

  @Override
  public ResponseStream startStream(int status, Map<String, String> headers) {
    begin();
    return new Stream();
  }

  private void begin() {
    if (answered) {
      throw new IllegalStateException("attempt %s is answered twice".formatted(attemptId));
    }
    answered = true;
  }

  @Override
  public void abort() {
    lose();
  }

  @Override
  public void onCallerDisconnect(Runnable action) {
    callerGone = action;
  }

  private final class Stream implements ResponseStream {
    @Override
    public void write(byte[] part) {
      if (!over && part.length > 0) {
        answers.onPart();
      }
    }

    @Override
    public long pendingBytes() {
      return 0;
    }

    @Override
    public void finish() {
      if (!over) {
        over = true;
        answers.onEnd();
      }
    }

    @Override
    public void abort() {
      lose();
    }
  }
}
