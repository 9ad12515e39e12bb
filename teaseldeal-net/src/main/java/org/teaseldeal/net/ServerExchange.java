package org.teaseldeal.net;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;

/**
 * A request on a {@link ServerConnection} and its answer.
 *
 * <p>Every call is queued on the event loop, even if it is made on the event loop itself: executed
 * at once, it would overtake calls that other threads made earlier.
 */
final class ServerExchange implements HttpExchange {
  /** Values of the linger time, in seconds, that select how the system closes a connection. */
  private static final int RESET_ON_CLOSE = 0;

  private static final int ORDERLY_CLOSE = -1;

  private final ServerConnection connection;
  private final SocketChannel channel;
  private final HttpRequest head;
  private final byte[] body;
  private final long headReceivedNanos;
  private final AtomicBoolean answerStarted = new AtomicBoolean();

  /** Accessed only on the event loop, like {@link #disconnected}. */
  private @Nullable Runnable disconnectAction;

  private boolean disconnected;
  private boolean ended;

  ServerExchange(
      ServerConnection connection,
      SocketChannel channel,
      HttpRequest head,
      byte[] body,
      long headReceivedNanos) {
    this.connection = connection;
    this.channel = channel;
    this.head = head;
    this.body = body;
    this.headReceivedNanos = headReceivedNanos;
  }

  @Override
  public String method() {
    return head.method().name();
  }

  @Override
  public String path() {
    return head.uri();
  }

  @Override
  public Optional<String> header(String name) {
    return Optional.ofNullable(head.headers().get(name));
  }

  @Override
  public List<Map.Entry<String, String>> headers() {
    return head.headers().entries();
  }

  @Override
  public byte[] body() {
    return body;
  }

  @Override
  public Duration timeSinceHead() {
    return Duration.ofNanos(System.nanoTime() - headReceivedNanos);
  }

  @Override
  public String remoteAddress() {
    var remote = channel.remoteAddress();
    return remote == null ? "" : remote.getAddress().getHostAddress();
  }

  @Override
  public void respond(int status, Map<String, String> headers, byte[] answer) {
    claimAnswer();
    HttpAnswer fullAnswer = new HttpAnswer(status, headers, answer);
    channel.eventLoop().execute(() -> sendAnswer(fullAnswer));
  }

  @Override
  public ResponseStream startStream(int status, Map<String, String> headers) {
    claimAnswer();
    ChunkedStream stream = new ChunkedStream();
    Map<String, String> copy = Map.copyOf(headers);
    channel.eventLoop().execute(() -> stream.sendHead(status, copy));
    return stream;
  }

  @Override
  public EncodedAnswer startEncoded() {
    claimAnswer();
    return new EncodedBytes();
  }

  @Override
  public void abort() {
    claimAnswer();
    channel.eventLoop().execute(channel::close);
  }

  @Override
  public void onCallerDisconnect(Runnable action) {
    channel
        .eventLoop()
        .execute(
            () -> {
              if (disconnected) {
                action.run();
              } else if (!ended) {
                disconnectAction = action;
              }
            });
  }

  /** Called on the event loop when the connection is closed before the answer has ended. */
  void onDisconnect() {
    disconnected = true;
    if (disconnectAction != null) {
      disconnectAction.run();
      disconnectAction = null;
    }
  }

  /** Converts a complete answer for Netty's codec. */
  static FullHttpResponse toFullResponse(HttpAnswer answer, boolean keepAlive) {
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(answer.status()),
            Unpooled.wrappedBuffer(answer.body()));
    setHeaders(response, answer.headers(), keepAlive);
    if (mayHaveBody(answer.status())) {
      response.headers().set(HttpHeaderNames.CONTENT_LENGTH, answer.body().length);
    }
    return response;
  }

  /** Sends an answer, or closes the connection if another one has begun. */
  void respondIfUnanswered(HttpAnswer answer) {
    if (answerStarted.compareAndSet(false, true)) {
      channel.eventLoop().execute(() -> sendAnswer(answer));
    } else {
      channel.eventLoop().execute(channel::close);
    }
  }

  private void claimAnswer() {
    if (!answerStarted.compareAndSet(false, true)) {
      throw new IllegalStateException("the request was answered already, expected one answer");
    }
  }

  private void sendAnswer(HttpAnswer answer) {
    if (disconnected) {
      return;
    }
    boolean keepAlive = connection.beginAnswer(head);
    FullHttpResponse response = toFullResponse(answer, keepAlive);
    if (head.method().equals(HttpMethod.HEAD) || !mayHaveBody(answer.status())) {
      response.content().clear();
    }
    channel.writeAndFlush(response);
    end(keepAlive);
  }

  private void end(boolean keepAlive) {
    ended = true;
    disconnectAction = null;
    connection.onAnswered(keepAlive);
  }

  private static boolean mayHaveBody(int status) {
    return status >= 200 && status != 204 && status != 304;
  }

  private static void setHeaders(
      HttpResponse response, Map<String, String> headers, boolean keepAlive) {
    headers.forEach((name, value) -> response.headers().set(name, value));
    if (!keepAlive) {
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
  }

  /** An answer that bypasses the codec. */
  private final class EncodedBytes implements EncodedAnswer {
    @Override
    public void write(byte[] bytes) {
      channel.eventLoop().execute(() -> send(bytes));
    }

    private void send(byte[] bytes) {
      if (!disconnected && !ended) {
        codec().writeAndFlush(Unpooled.wrappedBuffer(bytes));
      }
    }

    @Override
    public void close() {
      channel
          .eventLoop()
          .execute(
              () -> {
                if (!disconnected && !ended) {
                  end(false);
                }
              });
    }

    @Override
    public void reset() {
      channel
          .eventLoop()
          .execute(
              () -> {
                if (disconnected || ended) {
                  return;
                }
                ended = true;
                disconnectAction = null;
                codec()
                    .writeAndFlush(Unpooled.EMPTY_BUFFER)
                    .addListener(
                        sent -> {
                          channel.config().setSoLinger(RESET_ON_CLOSE);
                          channel.close();
                        });
              });
    }

    /** Writes from here skip the codec, as handlers see outbound messages last to first. */
    private ChannelHandlerContext codec() {
      return channel.pipeline().context(HttpServerCodec.class);
    }
  }

  /** The body of an answer, sent in parts. */
  private final class ChunkedStream implements ResponseStream {
    private final AtomicLong pending = new AtomicLong();
    private boolean keepAlive;
    private boolean chunked;

    void sendHead(int status, Map<String, String> headers) {
      if (disconnected) {
        return;
      }
      chunked = head.protocolVersion().equals(HttpVersion.HTTP_1_1);
      if (!chunked) {
        // HTTP/1.0 has no chunked coding, so an orderly close is the end of the answer. Until the
        // answer is complete, any close, also that of a killed process, has to be a reset.
        channel.config().setSoLinger(RESET_ON_CLOSE);
      }
      keepAlive = chunked && connection.beginAnswer(head);
      HttpResponse response =
          new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
      setHeaders(response, headers, keepAlive);
      if (chunked) {
        response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
      }
      channel.writeAndFlush(response);
    }

    @Override
    public void write(byte[] part) {
      if (part.length == 0) {
        return;
      }
      pending.addAndGet(part.length);
      channel.eventLoop().execute(() -> send(part));
    }

    private void send(byte[] part) {
      if (disconnected || ended) {
        pending.addAndGet(-part.length);
        return;
      }
      channel
          .writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(part)))
          .addListener((ChannelFutureListener) done -> pending.addAndGet(-part.length));
    }

    @Override
    public long pendingBytes() {
      return pending.get();
    }

    @Override
    public void finish() {
      channel
          .eventLoop()
          .execute(
              () -> {
                if (disconnected || ended) {
                  return;
                }
                channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT).addListener(this::onSent);
                end(keepAlive);
              });
    }

    private void onSent(Future<? super Void> sent) {
      if (!chunked && sent.isSuccess()) {
        channel.config().setSoLinger(ORDERLY_CLOSE);
      }
    }

    @Override
    public void abort() {
      channel
          .eventLoop()
          .execute(
              () -> {
                if (disconnected || ended) {
                  return;
                }
                ended = true;
                disconnectAction = null;
                closeIncomplete();
              });
    }

    private void closeIncomplete() {
      if (chunked) {
        connection.onAnswered(false);
      } else {
        channel.close();
      }
    }
  }
}
