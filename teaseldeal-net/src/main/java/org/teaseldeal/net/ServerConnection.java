package org.teaseldeal.net;

import static java.nio.charset.StandardCharsets.UTF_8;

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
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.teaseldeal.api.Durations;

/**
 * One caller's connection: collects requests within the limits and passes them to the handler one
 * at a time.
 */
final class ServerConnection extends ChannelInboundHandlerAdapter {
  /**
   * The only transfer coding that the server decodes. A body in another coding would be forwarded
   * without the header that names the coding, so the backend server would receive other bytes than
   * the caller meant.
   */
  private static final Predicate<String> IS_CHUNKED =
      HttpHeaderValues.CHUNKED::contentEqualsIgnoreCase;

  private static final Logger LOG = LoggerFactory.getLogger(ServerConnection.class);

  /**
   * How long input is read and discarded after the last answer. Closing a connection with unread
   * input makes the system reset it, and the caller would lose an answer that it has not read yet.
   * A caller that keeps sending is cut off after this time.
   */
  private static final Duration LINGER_TIMEOUT = Duration.ofSeconds(1);

  /**
   * How long a request that is arriving may take when the server closes its connections; afterwards
   * it is answered with the notice of the close.
   */
  private static final Duration LAST_REQUEST_TIMEOUT = Duration.ofMillis(250);

  /**
   * Number of connections beyond the limit that receive a rejection; further ones are closed
   * without an answer.
   */
  private static final int MAX_REJECTED_CONNECTIONS = 256;

  private static final HttpAnswer HANDLER_FAILED =
      new HttpAnswer(
          HttpHandler.FAILED_STATUS, Map.of(), "the request could not be handled".getBytes(UTF_8));

  private enum State {
    IDLE,
    READING,
    ANSWERING,
    CLOSING
  }

  private final SocketChannel channel;
  private final Supplier<HttpServerConfig> config;

  /** The largest head that the connection's decoder accepts. */
  private final int acceptedHeaderBytes;

  private final HttpHandler handler;
  private final HttpRejectionAnswer rejectionAnswer;
  private final int excessConnections;
  private final AtomicInteger usableConnections;
  private final AtomicInteger unansweredRequests;
  private final AtomicInteger connectionsWithoutRequest;
  private final ByteBudget bodyBudget;
  private final BooleanSupplier closingAfterAnswers;
  private final Supplier<@Nullable HttpAnswer> closeNotice;

  private State state = State.IDLE;
  private @Nullable HttpRequest request;
  private long headReceivedNanos;
  private ByteArrayOutputStream body = new ByteArrayOutputStream(0);
  private @Nullable Future<?> timer;
  private @Nullable ServerExchange exchange;
  private boolean pipelined;

  /** Whether the connection is open and its caller has not been told that it closes. */
  private boolean usable = true;

  /** Whether the connection is open and has not received its first request. */
  private boolean awaitingFirstRequest;

  /** Bytes of the body that is being received or whose request is being answered. */
  private int heldBodyBytes;

  private long lastUnsentBytes;

  private int answeredRequests;

  /** Whether the last answer stated that the connection closes. */
  private boolean closeAnnounced;

  private long idleSinceNanos = System.nanoTime();

  /** The idle timeout that the caller could know of when its last answer began. */
  private Duration promisedIdleTimeout;

  /** When the connection is closed unless a request arrives. */
  private long idleCloseNanos = System.nanoTime();

  /** The largest body of the request that is being received, as allowed when its head arrived. */
  private int maxBodyBytes;

  ServerConnection(
      SocketChannel channel,
      Supplier<HttpServerConfig> config,
      HttpHandler handler,
      HttpRejectionAnswer rejectionAnswer,
      int excessConnections,
      AtomicInteger usableConnections,
      AtomicInteger unansweredRequests,
      AtomicInteger connectionsWithoutRequest,
      ByteBudget bodyBudget,
      BooleanSupplier closingAfterAnswers,
      Supplier<@Nullable HttpAnswer> closeNotice) {
    this.channel = channel;
    this.config = config;
    this.acceptedHeaderBytes = config.get().maxHeaderBytes();
    this.promisedIdleTimeout = config.get().idleTimeout();
    this.handler = handler;
    this.rejectionAnswer = rejectionAnswer;
    this.excessConnections = excessConnections;
    this.usableConnections = usableConnections;
    this.unansweredRequests = unansweredRequests;
    this.connectionsWithoutRequest = connectionsWithoutRequest;
    this.bodyBudget = bodyBudget;
    this.closingAfterAnswers = closingAfterAnswers;
    this.closeNotice = closeNotice;
    usableConnections.incrementAndGet();
  }

  /**
   * Starts the request timeout at a request's first byte; the decoder passes nothing on until it
   * has decoded a whole head.
   */
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
    if (excessConnections > MAX_REJECTED_CONNECTIONS) {
      channel.close();
      return;
    }
    if (excessConnections > 0) {
      reject(HttpRejection.TOO_MANY_CONNECTIONS);
      return;
    }
    awaitingFirstRequest = true;
    connectionsWithoutRequest.incrementAndGet();
    startIdle();
    closeWhenIdle();
  }

  /** Called on the event loop when no further request will be read on the connection. */
  void stopBeingUsable() {
    if (usable) {
      usable = false;
      usableConnections.decrementAndGet();
    }
  }

  private void stopAwaitingFirstRequest() {
    if (awaitingFirstRequest) {
      awaitingFirstRequest = false;
      connectionsWithoutRequest.decrementAndGet();
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
    stopAwaitingFirstRequest();
    releaseBody();
    notifyDisconnect();
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
    if (event instanceof ChannelInputShutdownEvent) {
      onInputShutdown();
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
    headReceivedNanos = System.nanoTime();
    maxBodyBytes = config.get().maxBodyBytes();
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
    if (!head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING).stream().allMatch(IS_CHUNKED)) {
      return HttpRejection.MALFORMED;
    }
    return HttpUtil.getContentLength(head, 0L) > config.get().maxBodyBytes()
        ? HttpRejection.BODY_TOO_LARGE
        : null;
  }

  private void readContent(HttpContent content) {
    ByteBuf bytes = content.content();
    if (body.size() + bytes.readableBytes() > maxBodyBytes) {
      reject(HttpRejection.BODY_TOO_LARGE);
      return;
    }
    if (!bodyBudget.tryReserve(bytes.readableBytes())) {
      reject(HttpRejection.TOO_MANY_CONNECTIONS);
      return;
    }
    heldBodyBytes += bytes.readableBytes();
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
    unansweredRequests.incrementAndGet();
    stopAwaitingFirstRequest();
    ServerExchange current =
        new ServerExchange(this, channel, head, body.toByteArray(), headReceivedNanos);
    exchange = current;
    request = null;
    body = new ByteArrayOutputStream(0);
    try {
      handler.handle(current);
    } catch (RuntimeException e) {
      LOG.error("request handler threw an exception", e);
      current.respondIfUnanswered(HANDLER_FAILED);
    }
  }

  /**
   * Called when the answer to {@code head} begins; returns whether the connection stays open after
   * it.
   */
  boolean beginAnswer(HttpRequest head) {
    promisedIdleTimeout = config.get().idleTimeout();
    return HttpUtil.isKeepAlive(head)
        && !closingAfterAnswers.getAsBoolean()
        && !pipelined
        && config.get().maxHeaderBytes() <= acceptedHeaderBytes;
  }

  /** Called on the event loop after the last byte of an answer has been written to the channel. */
  void onAnswered(boolean keepAlive) {
    exchange = null;
    answeredRequests++;
    closeAnnounced = !keepAlive;
    idleSinceNanos = System.nanoTime();
    releaseBody();
    // An empty write completes when everything before it has been sent or the connection is closed.
    channel
        .writeAndFlush(Unpooled.EMPTY_BUFFER)
        .addListener(done -> unansweredRequests.decrementAndGet());
    if (!keepAlive || pipelined) {
      closeGracefully();
      return;
    }
    if (state == State.ANSWERING) {
      startIdle();
      closeWhenIdle();
    }
  }

  /**
   * Closes the connection with the server's notice, if there is one, after the input that has
   * arrived has been handled. A connection that is being answered is closed after its answer.
   */
  void closeWhenIdle() {
    if (closeNotice.get() != null) {
      SharedEventLoops.afterPendingInput(channel.eventLoop(), this::closeIfIdle);
    }
  }

  private void closeIfIdle() {
    switch (state) {
      case IDLE -> sendCloseNotice();
      case READING -> setTimer(LAST_REQUEST_TIMEOUT, this::sendCloseNotice);
      case ANSWERING, CLOSING -> {}
    }
  }

  /** Closes the connection with the server's notice unless a request is being answered. */
  void closeUnlessAnswering() {
    SharedEventLoops.afterPendingInput(
        channel.eventLoop(),
        () -> {
          if (state == State.IDLE || state == State.READING) {
            sendCloseNotice();
          }
        });
  }

  private void sendCloseNotice() {
    HttpAnswer notice = closeNotice.get();
    if (notice != null && channel.isActive()) {
      reject(notice);
    }
  }

  /**
   * Keeps an idle connection for the present idle timeout from now on, if that is later than it
   * would be closed. A shorter one applies from the next answer on: the caller may still count on
   * the earlier one.
   */
  void onLimitsChanged() {
    channel
        .eventLoop()
        .execute(
            () -> {
              long closeNanos = System.nanoTime() + config.get().idleTimeout().toNanos();
              if (state == State.IDLE && closeNanos - idleCloseNanos > 0) {
                scheduleIdleClose();
              }
            });
  }

  private void startIdle() {
    state = State.IDLE;
    scheduleIdleClose();
  }

  /**
   * Closes the connection after the idle timeout, unless the caller is still receiving an answer at
   * that time.
   */
  private void scheduleIdleClose() {
    lastUnsentBytes = unsentBytes();
    Duration timeout = Durations.longer(promisedIdleTimeout, config.get().idleTimeout());
    idleCloseNanos = System.nanoTime() + timeout.toNanos();
    setTimer(
        timeout,
        () -> {
          if (unsentBytes() == lastUnsentBytes) {
            channel.close();
          } else {
            scheduleIdleClose();
          }
        });
  }

  /**
   * Returns a number that changes as long as the caller receives bytes, and is zero when all have
   * been sent.
   */
  private long unsentBytes() {
    ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
    return buffer == null ? 0 : buffer.totalPendingWriteBytes() - buffer.currentProgress();
  }

  private void startReading() {
    state = State.READING;
    setTimer(config.get().requestTimeout(), () -> reject(HttpRejection.SLOW_OR_TRUNCATED));
  }

  private void onInputShutdown() {
    switch (state) {
      case READING -> reject(HttpRejection.SLOW_OR_TRUNCATED);
      // Callers do not shut down only their output while they wait for an answer; a shutdown here
      // means that the connection was closed.
      case IDLE, ANSWERING, CLOSING -> channel.close();
    }
  }

  private void reject(HttpRejection rejection) {
    reject(rejectionAnswer.answer(rejection));
  }

  private void reject(HttpAnswer answer) {
    request = null;
    body = new ByteArrayOutputStream(0);
    releaseBody();
    unansweredRequests.incrementAndGet();
    stopAwaitingFirstRequest();
    channel
        .writeAndFlush(ServerExchange.toFullResponse(answer, false))
        .addListener(done -> unansweredRequests.decrementAndGet());
    closeGracefully();
  }

  private void closeGracefully() {
    state = State.CLOSING;
    stopBeingUsable();
    scheduleIdleClose();
    channel
        .writeAndFlush(Unpooled.EMPTY_BUFFER)
        .addListener(
            (ChannelFutureListener)
                done -> {
                  channel.shutdownOutput();
                  setTimer(LINGER_TIMEOUT, channel::close);
                });
  }

  /**
   * Logs the state of the connection if the server closes it although its caller may still use it:
   * such a close can cross a request, which then gets no answer.
   */
  void logUnannouncedClose() {
    channel.eventLoop().execute(this::logIfUnannounced);
  }

  private void logIfUnannounced() {
    if (channel.isOpen() && !closeAnnounced && state != State.CLOSING) {
      LOG.debug(
          "closing connection without an announcement: peer {}, state {}, idle for {} ms, {} requests"
              + " answered",
          channel.remoteAddress(),
          state,
          TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - idleSinceNanos),
          answeredRequests);
    }
  }

  private void releaseBody() {
    bodyBudget.release(heldBodyBytes);
    heldBodyBytes = 0;
  }

  private void notifyDisconnect() {
    if (exchange != null) {
      exchange.onDisconnect();
      exchange = null;
      unansweredRequests.decrementAndGet();
    }
  }

  private void setTimer(Duration delay, Runnable action) {
    cancelTimer();
    timer =
        channel
            .eventLoop()
            .schedule(() -> runAfterPendingInput(action), delay.toNanos(), TimeUnit.NANOSECONDS);
  }

  /**
   * Runs the action of a timer that is due, unless input that arrived while the event loop was
   * blocked cancels it.
   */
  private void runAfterPendingInput(Runnable action) {
    timer = channel.eventLoop().schedule(action, 0, TimeUnit.NANOSECONDS);
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
