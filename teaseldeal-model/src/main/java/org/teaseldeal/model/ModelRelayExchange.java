package org.teaseldeal.model;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.teaseldeal.net.AnswerEnd;
import org.teaseldeal.net.HttpCall;
import org.teaseldeal.net.HttpCallRequest;
import org.teaseldeal.net.HttpExchange;
import org.teaseldeal.net.HttpFailure;
import org.teaseldeal.net.HttpListener;
import org.teaseldeal.net.ResponseStream;

/** A request that an instance sends through another one, seen from both of them. */
final class ModelRelayExchange implements HttpExchange, HttpCall {
  private final HttpCallRequest request;
  private final HttpListener listener;
  private final Consumer<Runnable> toSender;
  private final Consumer<Runnable> toRelay;
  private Runnable callerDisconnectAction = () -> {};
  private boolean headReceived;
  private boolean closed;

  /**
   * Creates an exchange.
   *
   * @param listener receives the answer at the sender
   * @param toSender runs an action at the sender once a message has arrived there
   * @param toRelay runs an action at the relay once a message has arrived there
   */
  ModelRelayExchange(
      HttpCallRequest request,
      HttpListener listener,
      Consumer<Runnable> toSender,
      Consumer<Runnable> toRelay) {
    this.request = request;
    this.listener = listener;
    this.toSender = toSender;
    this.toRelay = toRelay;
  }

  /** Ends the call at the sender if its answer has not begun. */
  void failUnlessBegun(HttpFailure failure) {
    if (!headReceived) {
      fail(failure);
    }
  }

  private void fail(HttpFailure failure) {
    if (!closed) {
      closed = true;
      listener.onFailure(failure, "model");
    }
  }

  private void deliver(Runnable action) {
    toSender.accept(
        () -> {
          if (!closed) {
            action.run();
          }
        });
  }

  private void deliverHead(int status, Map<String, String> headers) {
    deliver(
        () -> {
          headReceived = true;
          listener.onHead(status, headers);
        });
  }

  private void deliverEnd(AnswerEnd end) {
    deliver(
        () -> {
          closed = true;
          listener.onEnd(end);
        });
  }

  @Override
  public void cancel() {
    closed = true;
    toRelay.accept(() -> callerDisconnectAction.run());
  }

  @Override
  public String method() {
    return request.method();
  }

  @Override
  public String path() {
    return request.path();
  }

  @Override
  public Optional<String> header(String name) {
    return Optional.ofNullable(request.headers().get(name));
  }

  @Override
  public List<Map.Entry<String, String>> headers() {
    return List.copyOf(request.headers().entrySet());
  }

  @Override
  public byte[] body() {
    return request.body();
  }

  @Override
  public Duration timeSinceHead() {
    return Duration.ZERO;
  }

  @Override
  public String remoteAddress() {
    return "instance";
  }

  @Override
  public void respond(int status, Map<String, String> headers, byte[] body) {
    deliverHead(status, headers);
    deliver(() -> listener.onBodyPart(body));
    deliverEnd(AnswerEnd.LENGTH);
  }

  @Override
  public ResponseStream startStream(int status, Map<String, String> headers) {
    deliverHead(status, headers);
    return new Stream();
  }

  @Override
  public void abort() {
    deliver(() -> fail(HttpFailure.BROKEN_ANSWER));
  }

  @Override
  public void onCallerDisconnect(Runnable action) {
    callerDisconnectAction = action;
  }

  private final class Stream implements ResponseStream {
    @Override
    public void write(byte[] part) {
      deliver(() -> listener.onBodyPart(part));
    }

    @Override
    public long pendingBytes() {
      return 0;
    }

    @Override
    public void finish() {
      deliverEnd(AnswerEnd.LAST_CHUNK);
    }

    @Override
    public void abort() {
      ModelRelayExchange.this.abort();
    }
  }
}
