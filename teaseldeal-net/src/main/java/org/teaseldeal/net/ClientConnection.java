package org.teaseldeal.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/** A client's connection, which carries one call at a time. */
final class ClientConnection extends ChannelInboundHandlerAdapter {
  private final SocketChannel channel;
  private final InetSocketAddress address;
  private final ConnectionPool pool;

  private @Nullable ClientCall call;
  private @Nullable ChannelFuture requestWrite;
  private @Nullable Future<?> idleTimer;
  private boolean keepAlive;

  /** Whether the answer being received does not belong to the call and is discarded. */
  private boolean skippingAnswer;

  private @Nullable Duration serverIdleTimeout;
  private long remainingBytes;

  ClientConnection(SocketChannel channel, InetSocketAddress address, ConnectionPool pool) {
    this.channel = channel;
    this.address = address;
    this.pool = pool;
  }

  /**
   * Starts a call, or runs {@code ifClosed} if the connection was closed before a byte was written.
   *
   * <p>Input that has already arrived is handled first. If the server has closed a pooled
   * connection, this is noticed here, and the call does not count as sent.
   */
  void start(ClientCall newCall, Runnable ifClosed) {
    SharedEventLoops.afterPendingInput(channel.eventLoop(), () -> startOnLoop(newCall, ifClosed));
  }

  private void startOnLoop(ClientCall newCall, Runnable ifClosed) {
    if (!channel.isActive()) {
      ifClosed.run();
      return;
    }
    cancelIdleTimer();
    if (!newCall.startWriting(channel)) {
      returnToPool();
      return;
    }
    call = newCall;
    keepAlive = false;
    requestWrite = channel.writeAndFlush(encode(newCall.request()));
  }

  /** Closes a connection that has been taken from the pool and has no call. */
  void discard() {
    channel.close();
  }

  private FullHttpRequest encode(HttpCallRequest request) {
    FullHttpRequest encoded =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.valueOf(request.method()),
            request.path(),
            Unpooled.wrappedBuffer(request.body()));
    request.headers().forEach((name, value) -> encoded.headers().set(name, value));
    if (!encoded.headers().contains(HttpHeaderNames.HOST)) {
      encoded.headers().set(HttpHeaderNames.HOST, request.address());
    }
    if (request.body().length > 0 || !request.method().equals("GET")) {
      encoded.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
    }
    return encoded;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    try {
      read((HttpObject) message);
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void read(HttpObject object) {
    if (call == null) {
      // No call is in flight: these bytes must never be taken for the answer to the next call.
      channel.close();
      return;
    }
    if (object.decoderResult().isFailure()) {
      call.fail(
          HttpFailure.BROKEN_ANSWER,
          "the answer is malformed: " + object.decoderResult().cause().getMessage());
      close();
      return;
    }
    if (object instanceof HttpResponse head) {
      readHead(call, head);
    }
    if (object instanceof HttpContent content && !skippingAnswer) {
      readContent(call, content);
    }
    if (object instanceof LastHttpContent) {
      skippingAnswer = false;
    }
  }

  private void readHead(ClientCall current, HttpResponse head) {
    Map<String, String> headers = copyWithLowerCaseNames(head.headers());
    skippingAnswer =
        head.status().codeClass() == HttpStatusClass.INFORMATIONAL
            || !current.acceptsAnswer(head.status().code(), headers);
    if (skippingAnswer) {
      return;
    }
    keepAlive = HttpUtil.isKeepAlive(head);
    serverIdleTimeout = KeepAliveHeader.parseTimeout(headers);
    boolean bodiless =
        current.request().method().equals("HEAD")
            || head.status().code() == 204
            || head.status().code() == 304;
    remainingBytes = bodiless ? -1 : HttpUtil.getContentLength(head, -1L);
    current.deliverHead(head.status().code(), headers);
  }

  private void readContent(ClientCall current, HttpContent content) {
    ByteBuf bytes = content.content();
    if (bytes.isReadable()) {
      byte[] part = new byte[bytes.readableBytes()];
      bytes.readBytes(part);
      remainingBytes = remainingBytes < 0 ? -1 : remainingBytes - part.length;
      current.deliverBodyPart(part);
    }
    if (content instanceof LastHttpContent) {
      onAnswerEnd(current);
    }
  }

  private void onAnswerEnd(ClientCall current) {
    if (remainingBytes > 0) {
      current.fail(HttpFailure.BROKEN_ANSWER, "%d bytes are missing".formatted(remainingBytes));
      close();
      return;
    }
    call = null;
    if (!current.complete(this::reuseOrClose)) {
      channel.close();
    }
  }

  private void reuseOrClose() {
    // An answer received before the whole request was written leaves the connection in an unknown
    // state.
    if (keepAlive && requestWrite != null && requestWrite.isSuccess()) {
      returnToPool();
    } else {
      channel.close();
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    cancelIdleTimer();
    pool.removeIdle(address, this);
    if (call != null) {
      call.failByProgress("the connection was closed");
      call = null;
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (call != null) {
      call.failByProgress(cause.toString());
      call = null;
    }
    channel.close();
  }

  private void returnToPool() {
    if (!channel.isActive() || !pool.offerIdle(address, this)) {
      channel.close();
      return;
    }
    idleTimer =
        channel
            .eventLoop()
            .schedule(this::closeIfIdle, idleTimeout().toNanos(), TimeUnit.NANOSECONDS);
  }

  private Duration idleTimeout() {
    Duration configuredTimeout = pool.config().idleTimeout();
    Duration safeTimeout =
        serverIdleTimeout == null
            ? configuredTimeout
            : KeepAliveHeader.safeIdleTime(serverIdleTimeout);
    return safeTimeout.compareTo(configuredTimeout) < 0 ? safeTimeout : configuredTimeout;
  }

  private void closeIfIdle() {
    if (pool.removeIdle(address, this)) {
      channel.close();
    }
  }

  private void close() {
    call = null;
    channel.close();
  }

  private void cancelIdleTimer() {
    if (idleTimer != null) {
      idleTimer.cancel(false);
      idleTimer = null;
    }
  }

  private static Map<String, String> copyWithLowerCaseNames(HttpHeaders headers) {
    Map<String, String> copy = new HashMap<>();
    headers.forEach(
        header -> copy.putIfAbsent(header.getKey().toLowerCase(Locale.ROOT), header.getValue()));
    return copy;
  }
}
