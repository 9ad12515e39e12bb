package org.teaseldeal.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
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
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;

/** A client's connection, which carries one call at a time. */
final class ClientConnection extends ChannelInboundHandlerAdapter {
  private static final long NO_LENGTH = -1;

  /** An empty line, which servers ignore where a request is due. */
  private static final byte[] IGNORED_LINE = {'\r', '\n'};

  private static final AtomicLong LAST_NUMBER = new AtomicLong();

  private final long number = LAST_NUMBER.incrementAndGet();
  private final Channel channel;
  private final InetSocketAddress address;
  private final ConnectionPool pool;
  private final AnswerDecoder decoder;

  /** The number of calls that have been started on the connection. */
  private int calls;

  private final RecentNames names = new RecentNames();

  private @Nullable ClientCall call;
  private @Nullable ChannelFuture requestWrite;
  private @Nullable Future<?> idleTimer;

  /** Whether the answer being received does not belong to the call and is discarded. */
  private boolean skippingAnswer;

  /** Whether another call may follow the present one on the connection. */
  private boolean reusable;

  private SkippedAnswers skipped = new SkippedAnswers();

  private @Nullable Duration serverIdleTimeout;
  private long remainingBytes;

  /**
   * How the head of the call's answer says that its end is marked; null before the head has been
   * received.
   */
  private @Nullable AnswerEnd announcedEnd;

  /** Whether the server has closed the connection in order. */
  private boolean closedByServer;

  private ClientConnection(Channel channel, InetSocketAddress address, ConnectionPool pool) {
    this.channel = channel;
    this.address = address;
    this.pool = pool;
    int maxHeaderBytes = pool.config().maxHeaderBytes();
    this.decoder =
        new AnswerDecoder(
            new HttpDecoderConfig()
                .setMaxInitialLineLength(maxHeaderBytes)
                .setMaxHeaderSize(maxHeaderBytes),
            this::answersHead);
  }

  /** Adds a connection, and the codec that it needs, to the pipeline of {@code channel}. */
  static ClientConnection install(Channel channel, InetSocketAddress address, ConnectionPool pool) {
    ClientConnection connection = new ClientConnection(channel, address, pool);
    channel
        .pipeline()
        .addLast(connection.rawInputObserver())
        .addLast(connection.decoder)
        .addLast(new HttpRequestEncoder())
        .addLast(connection);
    return connection;
  }

  /**
   * Starts a call, or runs {@code ifClosed} if the connection was closed before a byte was written.
   * A connection that has carried a call of the same name is closed: a second copy of the answer to
   * that one would be taken for this one's.
   *
   * <p>Input that has already arrived is handled first. If the server has closed a pooled
   * connection, this is noticed here, and the call does not count as sent.
   */
  void start(ClientCall newCall, Runnable ifClosed) {
    SharedEventLoops.afterPendingInput(channel.eventLoop(), () -> startOnLoop(newCall, ifClosed));
  }

  private void startOnLoop(ClientCall newCall, Runnable ifClosed) {
    if (names.contains(newCall.name())) {
      channel.close();
    }
    if (!channel.isActive()) {
      ifClosed.run();
      return;
    }
    cancelIdleTimer();
    FullHttpRequest encoded;
    try {
      encoded = encode(newCall.request());
    } catch (IllegalArgumentException e) {
      returnToPool();
      newCall.fail(HttpFailure.NOT_SENT, "the request can't be encoded: " + e.getMessage());
      return;
    }
    if (!newCall.startWriting(channel)) {
      returnToPool();
      return;
    }
    call = newCall;
    calls++;
    names.add(newCall.name());
    announcedEnd = null;
    reusable = false;
    skipped = new SkippedAnswers();
    requestWrite = channel.writeAndFlush(encoded);
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

  /**
   * Notices input that the decoder hides: that the server has closed the connection, as the decoder
   * reports the end of an answer without a length in the same way for every kind of close; and
   * bytes between two calls, which it would join with the next answer until they are a whole head.
   */
  private ChannelHandler rawInputObserver() {
    return new ChannelInboundHandlerAdapter() {
      @Override
      public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (call == null) {
          ReferenceCountUtil.release(message);
          channel.close();
        } else {
          ctx.fireChannelRead(message);
        }
      }

      @Override
      public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        closedByServer |= event instanceof ChannelInputShutdownEvent;
        ctx.fireUserEventTriggered(event);
      }
    };
  }

  /**
   * Returns whether an answer is that to a HEAD request. One that names another call isn't: no call
   * follows a HEAD request on its connection.
   */
  private boolean answersHead(HttpResponse head) {
    return call != null
        && isHead(call.request())
        && call.match(head.status().code(), copyWithLowerCaseNames(head.headers()))
            != AnswerMatch.OTHER_CALL;
  }

  private static boolean isHead(HttpCallRequest request) {
    return request.method().equals("HEAD");
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
    if (event instanceof ChannelInputShutdownEvent) {
      channel.close();
    }
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
      failAsMalformed(call, String.valueOf(object.decoderResult().cause().getMessage()));
      return;
    }
    if (object instanceof HttpResponse head) {
      Optional<String> violation = AnswerHeads.violation(head, calls == 1 && skipped.count() == 0);
      if (violation.isPresent()) {
        failAsMalformed(call, violation.get());
        return;
      }
      readHead(call, head);
    }
    if (object instanceof HttpContent content) {
      if (skippingAnswer) {
        skipped.addBodyBytes(content.content().readableBytes());
      } else {
        readContent(call, content);
      }
    }
    failIfTooMuchIsSkipped();
    if (object instanceof LastHttpContent) {
      skippingAnswer = false;
    }
  }

  private void failAsMalformed(ClientCall current, String detail) {
    current.fail(HttpFailure.BROKEN_ANSWER, "the answer is malformed: " + detail);
    close();
  }

  private void failIfTooMuchIsSkipped() {
    if (call != null && skipped.exceedLimits()) {
      call.failByProgress(skipped.toString());
      close();
    }
  }

  private void readHead(ClientCall current, HttpResponse head) {
    int status = head.status().code();
    Map<String, String> headers = copyWithLowerCaseNames(head.headers());
    if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
      skippingAnswer = true;
      skipped.addInterim();
      return;
    }
    AnswerMatch match = current.match(status, headers);
    AnswerOrigin origin = new AnswerOrigin(number, calls, skipped.count(), match);
    if (match == AnswerMatch.OTHER_CALL) {
      skippingAnswer = true;
      skipped.addOther();
      current.reportSkipped(status, headers, origin);
      return;
    }
    // A server that answers twice sends the second copy where the answer to the next call is due.
    reusable =
        HttpUtil.isKeepAlive(head)
            && match.allowsReuse()
            && !skipped.includeOther()
            && statesItsEnd(current.request());
    serverIdleTimeout = KeepAliveHeader.parseTimeout(headers);
    AnswerEnd end = announcedEnd(current.request(), head);
    announcedEnd = end;
    remainingBytes =
        end == AnswerEnd.LENGTH ? HttpUtil.getContentLength(head, NO_LENGTH) : NO_LENGTH;
    current.deliverHead(status, headers, end, origin);
  }

  /**
   * Returns whether the server, too, takes the answer to end where the client does. A server may
   * send a body where there is none by the method or status, and a copy of such an answer may come
   * without the body that its head announces.
   */
  private boolean statesItsEnd(HttpCallRequest request) {
    return !isHead(request) && !decoder.ignoresAnnouncedBody();
  }

  private static AnswerEnd announcedEnd(HttpCallRequest request, HttpResponse head) {
    if (isHead(request) || head.status().code() == 204 || head.status().code() == 304) {
      return AnswerEnd.NO_BODY;
    }
    if (HttpUtil.isTransferEncodingChunked(head)) {
      return AnswerEnd.LAST_CHUNK;
    }
    return HttpUtil.getContentLength(head, NO_LENGTH) == NO_LENGTH
        ? AnswerEnd.CONNECTION_CLOSED
        : AnswerEnd.LENGTH;
  }

  private void readContent(ClientCall current, HttpContent content) {
    ByteBuf bytes = content.content();
    if (bytes.isReadable()) {
      byte[] part = new byte[bytes.readableBytes()];
      bytes.readBytes(part);
      remainingBytes = remainingBytes == NO_LENGTH ? NO_LENGTH : remainingBytes - part.length;
      current.deliverBodyPart(part);
    }
    if (content instanceof LastHttpContent) {
      onAnswerEnd(current);
    }
  }

  private void onAnswerEnd(ClientCall current) {
    AnswerEnd end = announcedEnd;
    if (end == null) {
      current.failByProgress("the codec reported an end before a head");
      return;
    }
    Optional<String> flaw = flaw(current.request(), end);
    if (flaw.isPresent()) {
      current.fail(HttpFailure.BROKEN_ANSWER, flaw.get());
      close();
      return;
    }
    call = null;
    if (!current.complete(end, this::reuseOrClose)) {
      channel.close();
    }
  }

  /** Returns why the answer that has ended is incomplete; empty if it is complete. */
  private Optional<String> flaw(HttpCallRequest request, AnswerEnd end) {
    if (remainingBytes > 0) {
      return Optional.of("%d bytes are missing".formatted(remainingBytes));
    }
    return end == AnswerEnd.CONNECTION_CLOSED
        ? flawOfClose(request).map(this::withAnnouncedEnd)
        : Optional.empty();
  }

  /** Returns why the close of the connection isn't the end of an answer; empty if it is. */
  private Optional<String> flawOfClose(HttpCallRequest request) {
    if (!closedByServer) {
      return Optional.of("the connection was lost");
    }
    if (!isRequestWritten()) {
      return Optional.of("the connection was closed before the request was written");
    }
    return isResetBehindClose(request)
        ? Optional.of("the connection was reset before the request was read")
        : Optional.empty();
  }

  private void reuseOrClose() {
    // An answer received before the whole request was written leaves the connection in an unknown
    // state. Bytes that follow the answer would become part of the next one.
    if (reusable && isRequestWritten() && !decoder.hasUndecodedBytes()) {
      returnToPool();
    } else {
      channel.close();
    }
  }

  /**
   * Returns whether the server reset the connection after closing its output, as one does that
   * leaves a part of the request unread. Reads then report the orderly close only, but writes fail.
   */
  private boolean isResetBehindClose(HttpCallRequest request) {
    if (request.body().length == 0) {
      return false;
    }
    ChannelFuture probe =
        channel.pipeline().firstContext().writeAndFlush(Unpooled.wrappedBuffer(IGNORED_LINE));
    return probe.isDone() && !probe.isSuccess();
  }

  private boolean isRequestWritten() {
    return requestWrite != null && requestWrite.isSuccess();
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    cancelIdleTimer();
    pool.removeIdle(address, this);
    if (call != null) {
      call.failByProgress(withAnnouncedEnd("the connection was closed"));
      call = null;
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (call != null) {
      call.failByProgress(withAnnouncedEnd(cause.toString()));
      call = null;
    }
    channel.close();
  }

  private String withAnnouncedEnd(String detail) {
    return announcedEnd == null ? detail : detail + ", announced end " + announcedEnd;
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
