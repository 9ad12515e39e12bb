package org.teaseldeal.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One caller's connection: gathers requests within the limits and hands them on one by one. */
final class ServerConnection extends ChannelInboundHandlerAdapter {
  /**
   * The one transfer coding that is read here. A body in another one would be passed on without the
   * header that names it, so that the server gets bytes that the caller did not mean.
   */
  private static final Predicate<String> PLAIN_CHUNKS =
      HttpHeaderValues.CHUNKED::contentEqualsIgnoreCase;

  private static final Logger LOG = LoggerFactory.getLogger(ServerConnection.class);

  /**
   * How long a connection is read and discarded after a last answer. Closing with unread input
   * makes the system reset the connection, and the caller would lose the answer that it hasn't read
   * yet; a caller that goes on sending is cut off after this time all the same.
   */
  private static final Duration LINGER = Duration.ofSeconds(1);

  /** Connections beyond the limit that are told so; further ones are closed without a word. */
  private static final int MAX_REJECTED = 256;

  private enum State {
    IDLE,
    READING,
    ANSWERING,
    CLOSING
  }

  private final SocketChannel channel;
  private final HttpServerConfig config;
  private final HttpHandler handler;
  private final HttpRejectionAnswer rejectionAnswer;
  private final int excess;
  private final AtomicInteger unanswered;
  private final AtomicInteger newcomers;
  private final ByteBudget bodies;
  private final BooleanSupplier stopping;

  private State state = State.IDLE;
  private @Nullable HttpRequest request;
  private long headNanos;
  private ByteArrayOutputStream body = new ByteArrayOutputStream(0);
  private @Nullable Future<?> timer;
  private @Nullable ServerExchange exchange;
  private boolean pipelined;

  /** Whether the connection is open and no request of it has been taken. */
  private boolean newcomer;

  /** Bytes of the body that is arriving or being answered. */
  private int held;

  private long unsentSeen;

  ServerConnection(
      SocketChannel channel,
      HttpServerConfig config,
      HttpHandler handler,
      HttpRejectionAnswer rejectionAnswer,
      int excess,
      AtomicInteger unanswered,
      AtomicInteger newcomers,
      ByteBudget bodies,
      BooleanSupplier stopping) {
    this.channel = channel;
    this.config = config;
    this.handler = handler;
    this.rejectionAnswer = rejectionAnswer;
    this.excess = excess;
    this.unanswered = unanswered;
    this.newcomers = newcomers;
    this.bodies = bodies;
    this.stopping = stopping;
  }

  /** Starts the clock of a request at its first byte, which the decoder would hide until later. */
  ChannelHandler firstByteDetector() {
    return new ChannelInboundHandlerAdapter() {
      @Override
      public void channelRead(ChannelHandlerContext ctx, Object message) {
        switch (state) {
          case IDLE -> startReading();
          case CLOSING -> {
            ReferenceCountUtil.release(message);
            return;
          }
          default -> {}
        }
        ctx.fireChannelRead(message);
      }
    };
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    if (excess > MAX_REJECTED) {
      channel.close();
      return;
    }
    if (excess > 0) {
      reject(HttpRejection.TOO_MANY_CONNECTIONS);
      return;
    }
    newcomer = true;
    newcomers.incrementAndGet();
    startIdle();
  }

  private void leaveNewcomers() {
    if (newcomer) {
      newcomer = false;
      newcomers.decrementAndGet();
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

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    cancelTimer();
    state = State.CLOSING;
    leaveNewcomers();
    releaseBody();
    callerGone();
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
    if (event instanceof ChannelInputShutdownEvent) {
      inputShutDown();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    LOG.debug("connection failed: {}", cause.toString());
    channel.close();
  }

  private void read(HttpObject object) {
    if (state == State.CLOSING) {
      return;
    }
    if (state == State.ANSWERING) {
      pipelined = true;
      return;
    }
    DecoderResult decoded = object.decoderResult();
    if (decoded.isFailure()) {
      reject(rejectionOf(decoded.cause()));
      return;
    }
    if (object instanceof HttpRequest head) {
      readHead(head);
    }
    if (object instanceof HttpContent content && state == State.READING) {
      readContent(content);
    }
  }

  private void readHead(HttpRequest head) {
    HttpRejection rejection = checkHead(head);
    if (rejection != null) {
      reject(rejection);
      return;
    }
    request = head;
    headNanos = System.nanoTime();
    body = new ByteArrayOutputStream(0);
    if (HttpUtil.is100ContinueExpected(head)) {
      channel.writeAndFlush(
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
    }
  }

  private @Nullable HttpRejection checkHead(HttpRequest head) {
    boolean http11 = head.protocolVersion().equals(HttpVersion.HTTP_1_1);
    if (!http11 && !head.protocolVersion().equals(HttpVersion.HTTP_1_0)) {
      return HttpRejection.MALFORMED;
    }
    if (http11 && !head.headers().contains(HttpHeaderNames.HOST)) {
      return HttpRejection.MALFORMED;
    }
    if (!head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING).stream().allMatch(PLAIN_CHUNKS)) {
      return HttpRejection.MALFORMED;
    }
    return HttpUtil.getContentLength(head, 0L) > config.maxBodyBytes()
        ? HttpRejection.BODY_TOO_LARGE
        : null;
  }

  private void readContent(HttpContent content) {
    ByteBuf bytes = content.content();
    if (body.size() + bytes.readableBytes() > config.maxBodyBytes()) {
      reject(HttpRejection.BODY_TOO_LARGE);
      return;
    }
    if (!bodies.take(bytes.readableBytes())) {
      reject(HttpRejection.TOO_MANY_CONNECTIONS);
      return;
    }
    held += bytes.readableBytes();
    byte[] part = new byte[bytes.readableBytes()];
    bytes.readBytes(part);
    body.writeBytes(part);
    if (content instanceof LastHttpContent && request != null) {
      dispatch(request);
    }
  }

  private void dispatch(HttpRequest head) {
    cancelTimer();
    state = State.ANSWERING;
    unanswered.incrementAndGet();
    leaveNewcomers();
    ServerExchange current = new ServerExchange(this, channel, head, body.toByteArray(), headNanos);
    exchange = current;
    request = null;
    body = new ByteArrayOutputStream(0);
    try {
      handler.handle(current);
    } catch (RuntimeException e) {
      LOG.error("handler failed", e);
      channel.close();
    }
  }

  /** Whether the connection outlives the answer to {@code head} as things stand now. */
  boolean keepAlive(HttpRequest head) {
    return HttpUtil.isKeepAlive(head) && !stopping.getAsBoolean() && !pipelined;
  }

  /** Called on the event loop after the last byte of an answer was handed to the channel. */
  void answered(boolean keepAlive) {
    exchange = null;
    releaseBody();
    // An empty write is done when all before it has left, or when the connection is closed.
    channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(done -> unanswered.decrementAndGet());
    if (!keepAlive || pipelined) {
      closeGracefully();
      return;
    }
    if (state == State.ANSWERING) {
      startIdle();
    }
  }

  private void startIdle() {
    state = State.IDLE;
    closeWhenIdle();
  }

  /** Closes after the idle timeout, unless the caller is still taking an answer by then. */
  private void closeWhenIdle() {
    unsentSeen = unsent();
    setTimer(
        config.idleTimeout(),
        () -> {
          if (unsent() == unsentSeen) {
            channel.close();
          } else {
            closeWhenIdle();
          }
        });
  }

  /** A number that changes as long as the connection takes bytes, and is zero when all are out. */
  private long unsent() {
    ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
    return buffer == null ? 0 : buffer.totalPendingWriteBytes() - buffer.currentProgress();
  }

  private void startReading() {
    state = State.READING;
    setTimer(config.requestTimeout(), () -> reject(HttpRejection.SLOW_OR_TRUNCATED));
  }

  private void inputShutDown() {
    switch (state) {
      case READING -> reject(HttpRejection.SLOW_OR_TRUNCATED);
      // Callers don't shut down one side only while they wait for an answer: this is how a closed
      // connection looks from here.
      case IDLE, ANSWERING, CLOSING -> channel.close();
    }
  }

  private void reject(HttpRejection rejection) {
    HttpAnswer answer = rejectionAnswer.answer(rejection);
    request = null;
    body = new ByteArrayOutputStream(0);
    releaseBody();
    unanswered.incrementAndGet();
    leaveNewcomers();
    channel
        .writeAndFlush(ServerExchange.wholeAnswer(answer, false))
        .addListener(done -> unanswered.decrementAndGet());
    closeGracefully();
  }

  private void closeGracefully() {
    state = State.CLOSING;
    closeWhenIdle();
    channel
        .writeAndFlush(Unpooled.EMPTY_BUFFER)
        .addListener(
            (ChannelFutureListener)
                done -> {
                  channel.shutdownOutput();
                  setTimer(LINGER, channel::close);
                });
  }

  private void releaseBody() {
    bodies.giveBack(held);
    held = 0;
  }

  private void callerGone() {
    if (exchange != null) {
      exchange.callerIsGone();
      exchange = null;
      unanswered.decrementAndGet();
    }
  }

  private void setTimer(Duration delay, Runnable action) {
    cancelTimer();
    timer = channel.eventLoop().schedule(action, delay.toNanos(), TimeUnit.NANOSECONDS);
  }

  private void cancelTimer() {
    if (timer != null) {
      timer.cancel(false);
      timer = null;
    }
  }

  private static HttpRejection rejectionOf(Throwable cause) {
    return switch (cause) {
      case TooLongFrameException tooLong -> HttpRejection.HEADERS_TOO_LARGE;
      case PrematureChannelClosureException closed -> HttpRejection.SLOW_OR_TRUNCATED;
      default -> HttpRejection.MALFORMED;
    };
  }
}
