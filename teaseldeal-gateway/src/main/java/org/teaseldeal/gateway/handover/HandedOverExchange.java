package org.teaseldeal.gateway.handover;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.teaseldeal.gateway.handover.HandoverMessage.Result;
import org.teaseldeal.net.HttpExchange;
import org.teaseldeal.net.ResponseStream;

/** A caller's request that another instance handed over, and its answer. */
final class HandedOverExchange implements HttpExchange {
  private final HttpExchange call;
  private final HandoverMessage message;
  private final Runnable onEnded;
  private @Nullable Runnable disconnectAction;
  private boolean ended;

  /**
   * Creates the exchange of a request.
   *
   * @param call the other instance's call
   * @param onEnded is run once when the answer has ended or the other instance has disconnected
   */
  HandedOverExchange(HttpExchange call, HandoverMessage message, Runnable onEnded) {
    this.call = call;
    this.message = message;
    this.onEnded = onEnded;
    call.onCallerDisconnect(this::onDisconnect);
  }

  @Override
  public String method() {
    return message.method();
  }

  @Override
  public String path() {
    return message.target();
  }

  @Override
  public Optional<String> header(String name) {
    for (Map.Entry<String, String> header : message.headers()) {
      if (header.getKey().equalsIgnoreCase(name)) {
        return Optional.of(header.getValue());
      }
    }
    return Optional.empty();
  }

  @Override
  public List<Map.Entry<String, String>> headers() {
    return message.headers();
  }

  @Override
  public byte[] body() {
    return message.body();
  }

  @Override
  public Duration timeSinceHead() {
    return message.waited().plus(call.timeSinceHead());
  }

  @Override
  public String remoteAddress() {
    return call.remoteAddress();
  }

  @Override
  public void respond(int status, Map<String, String> headers, byte[] body) {
    call.respond(status, HandoverMessage.withResult(call, headers, Result.COMPLETE), body);
    end();
  }

  @Override
  public ResponseStream startStream(int status, Map<String, String> headers) {
    ResponseStream stream =
        call.startStream(status, HandoverMessage.withResult(call, headers, Result.STREAM));
    return new CountedStream(stream);
  }

  @Override
  public void abort() {
    call.abort();
    end();
  }

  @Override
  public void onCallerDisconnect(Runnable action) {
    disconnectAction = action;
  }

  private void onDisconnect() {
    Runnable action = disconnectAction;
    if (!ended && action != null) {
      action.run();
    }
    end();
  }

  private void end() {
    if (!ended) {
      ended = true;
      onEnded.run();
    }
  }

  private final class CountedStream implements ResponseStream {
    private final ResponseStream stream;

    CountedStream(ResponseStream stream) {
      this.stream = stream;
    }

    @Override
    public void write(byte[] part) {
      stream.write(part);
    }

    @Override
    public long pendingBytes() {
      return stream.pendingBytes();
    }

    @Override
    public void finish() {
      stream.finish();
      end();
    }

    @Override
    public void abort() {
      stream.abort();
      end();
    }
  }
}
