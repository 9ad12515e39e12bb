package org.teaseldeal.model;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.teaseldeal.gateway.flow.Resumption;
import org.teaseldeal.net.HttpExchange;
import org.teaseldeal.net.ResponseStream;

/** One attempt of a caller at one instance, which passes the answer on to the caller. */
final class ModelExchange implements HttpExchange {
  /** Receives the instance's answer, in order. */
  interface ResponseListener {
    void onResponse(int status, Map<String, String> headers);

    /**
     * Called for each event of a stream.
     *
     * @param version the software version of the engine that wrote it
     */
    void onEvent(String version);

    void onEnd();

    /** Called when the connection closes before the answer is complete. */
    void onConnectionLost();
  }

  private final String attemptId;
  private final ModelRequest request;
  private final Duration timeLeft;
  private final Optional<Resumption> resumption;
  private final ResponseListener listener;
  private Runnable callerDisconnectAction = () -> {};
  private boolean responseStarted;
  private boolean ended;

  ModelExchange(
      String attemptId,
      ModelRequest request,
      Duration timeLeft,
      Optional<Resumption> resumption,
      ResponseListener listener) {
    this.attemptId = attemptId;
    this.request = request;
    this.timeLeft = timeLeft;
    this.resumption = resumption;
    this.listener = listener;
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

  /** Returns the caller's statement that it takes up a stream, if it does. */
  Optional<Resumption> resumption() {
    return resumption;
  }

  /** Returns whether the answer is complete or the connection is closed. */
  boolean ended() {
    return ended;
  }

  /** Closes the connection on the caller's side. */
  void closeByCaller() {
    if (!ended) {
      ended = true;
      callerDisconnectAction.run();
    }
  }

  /** Closes the connection on the instance's side, for example because its process ended. */
  void breakConnection() {
    if (!ended) {
      ended = true;
      listener.onConnectionLost();
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
    startResponse();
    if (!ended) {
      ended = true;
      listener.onResponse(status, headers);
    }
  }

  @Override
  public ResponseStream startStream(int status, Map<String, String> headers) {
    startResponse();
    return new Stream();
  }

  private void startResponse() {
    if (responseStarted) {
      throw new IllegalStateException("attempt %s was answered twice".formatted(attemptId));
    }
    responseStarted = true;
  }

  @Override
  public void abort() {
    breakConnection();
  }

  @Override
  public void onCallerDisconnect(Runnable action) {
    callerDisconnectAction = action;
  }

  private final class Stream implements ResponseStream {
    @Override
    public void write(byte[] part) {
      if (!ended && part.length > 0) {
        listener.onEvent(ModelFleet.versionIn(part));
      }
    }

    @Override
    public long pendingBytes() {
      return 0;
    }

    @Override
    public void finish() {
      if (!ended) {
        ended = true;
        listener.onEnd();
      }
    }

    @Override
    public void abort() {
      breakConnection();
    }
  }
}
