package org.teaseldeal.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.jspecify.annotations.Nullable;

/**
 * An HTTP/1.1 server.
 *
 * <p>The handler receives only requests that arrived completely and within the limits. Any other
 * request is answered with an {@link HttpRejection}, and its connection is closed. A connection
 * serves one request at a time: if the caller pipelines another request before the answer has
 * ended, the server finishes that answer and closes the connection, so the caller has to send the
 * other request again.
 */
public final class HttpServer implements AutoCloseable {
  /**
   * The part of the heap that request bodies may occupy, as a divisor. The limit of one body times
   * the limit of connections would exceed the heap many times over.
   */
  private static final int HEAP_DIVISOR_FOR_BODIES = 4;

  private final ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private final Set<ServerConnection> connections = ConcurrentHashMap.newKeySet();
  private final AtomicInteger openConnections = new AtomicInteger();
  private final AtomicInteger usableConnections = new AtomicInteger();
  private final AtomicInteger unansweredRequests = new AtomicInteger();
  private final AtomicInteger connectionsWithoutRequest = new AtomicInteger();
  private final ByteBudget bodyBudget;
  private volatile HttpServerConfig config;
  private final HttpHandler handler;
  private final HttpRejectionAnswer rejectionAnswer;
  private final ListeningSocket listeningSocket;
  private volatile boolean accepting = true;
  private volatile boolean closingAfterAnswers;
  private volatile @Nullable HttpAnswer closeNotice;

  private HttpServer(
      HttpServerConfig config,
      HttpHandler handler,
      HttpRejectionAnswer rejectionAnswer,
      long maxTotalBodyBytes)
      throws IOException {
    this.bodyBudget = new ByteBudget(maxTotalBodyBytes);
    this.config = config;
    this.handler = handler;
    this.rejectionAnswer = rejectionAnswer;
    this.listeningSocket = bind();
  }

  /**
   * Starts a server.
   *
   * @throws IOException if the address cannot be bound
   */
  public static HttpServer start(
      HttpServerConfig config, HttpHandler handler, HttpRejectionAnswer rejectionAnswer)
      throws IOException {
    return start(
        config,
        handler,
        rejectionAnswer,
        Runtime.getRuntime().maxMemory() / HEAP_DIVISOR_FOR_BODIES);
  }

  static HttpServer start(
      HttpServerConfig config,
      HttpHandler handler,
      HttpRejectionAnswer rejectionAnswer,
      long maxTotalBodyBytes)
      throws IOException {
    return new HttpServer(config, handler, rejectionAnswer, maxTotalBodyBytes);
  }

  /** Starts a server that rejects requests with {@link HttpRejectionAnswer#plainText()}. */
  public static HttpServer start(HttpServerConfig config, HttpHandler handler) throws IOException {
    return start(config, handler, HttpRejectionAnswer.plainText());
  }

  /**
   * Sets the limits from now on, also of open connections; the listening address does not change. A
   * connection that doesn't accept heads of the new size is closed after its next answer.
   */
  public void setLimits(HttpServerConfig limits) {
    config = limits;
    connections.forEach(ServerConnection::onLimitsChanged);
  }

  /** Returns the address that the server listens on, with the port that the system chose. */
  public InetSocketAddress address() {
    return listeningSocket.address();
  }

  /** Returns the event loop that accepts connections. */
  EventLoop eventLoop() {
    return listeningSocket.eventLoop();
  }

  /** Returns the number of requests whose answer has not been written to the network completely. */
  public int unansweredRequests() {
    return unansweredRequests.get();
  }

  /** Returns the number of open connections whose first request has not been received yet. */
  public int connectionsWithoutRequest() {
    return connectionsWithoutRequest.get();
  }

  /**
   * Closes each connection after its next answer from now on; new connections are still accepted.
   * Callers thus move to other servers without losing a request in flight.
   */
  public void closeAfterAnswers() {
    closingAfterAnswers = true;
  }

  /** Stops listening; open connections are closed as by {@link #closeAfterAnswers}. */
  public void stopAccepting() {
    stopAcceptingAsync().awaitUninterruptibly();
  }

  /**
   * Does the same as {@link #stopAccepting} without blocking, for use on an event loop.
   *
   * <p>Connections that the system has already accepted for the server are handled first; they
   * would be reset if the socket were closed at once.
   *
   * @return a future that is done when the address is free
   */
  public Future<Void> stopAcceptingAsync() {
    closeAfterAnswers();
    return listeningSocket.release().addListener(released -> accepting = false);
  }

  /**
   * Returns whether connections may still be accepted; if not, those that the system had accepted
   * have been handled.
   */
  public boolean isAccepting() {
    return accepting;
  }

  /** Returns the number of open connections. */
  public int openConnections() {
    return openConnections.get();
  }

  /**
   * Returns the number of connections on which a request may still be read: neither an answer nor a
   * notice has told their callers that they close.
   */
  public int usableConnections() {
    return usableConnections.get();
  }

  /**
   * Closes each connection as soon as it is idle, with an unrequested answer right before its end.
   *
   * <p>The caller of a kept connection may send a request at any moment, also while the connection
   * is being closed. Such a request is not read, and {@code notice} is its answer, so it has to say
   * that the request was not run. A caller that isn't sending a request sees an answer to no
   * request and the end of the connection, and uses the connection no more.
   *
   * <p>A connection stays open, and its input is discarded, until its caller has closed it, or for
   * a second: if it were closed at once, the system would reset it when the request arrives, and
   * the caller could lose the notice.
   */
  public void closeIdleConnections(HttpAnswer notice) {
    closeAfterAnswers();
    closeNotice = notice;
    connections.forEach(ServerConnection::closeWhenIdle);
  }

  /**
   * Does the same as {@link #closeIdleConnections}, but does not wait for the rest of requests that
   * are still arriving: {@code notice} is their answer, too.
   */
  public void closeUnlessAnswering(HttpAnswer notice) {
    closeAfterAnswers();
    closeNotice = notice;
    connections.forEach(ServerConnection::closeUnlessAnswering);
  }

  /** Stops listening and closes all connections. */
  @Override
  public void close() {
    stopAccepting();
    connections.forEach(ServerConnection::logUnannouncedClose);
    channels.close().awaitUninterruptibly();
  }

  private ListeningSocket bind() throws IOException {
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .option(ChannelOption.SO_BACKLOG, 1024)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.SO_KEEPALIVE, true)
            // A caller that shut down its output in the middle of a request can still read the
            // answer that rejects the request.
            .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    initConnection(channel);
                  }
                });
    return ListeningSocket.bind(bootstrap, config.host(), config.port());
  }

  private void initConnection(SocketChannel channel) {
    channels.add(channel);
    int excess = openConnections.incrementAndGet() - config.maxConnections();
    channel.closeFuture().addListener(closed -> openConnections.decrementAndGet());
    ServerConnection connection =
        new ServerConnection(
            channel,
            () -> config,
            handler,
            rejectionAnswer,
            excess,
            usableConnections,
            unansweredRequests,
            connectionsWithoutRequest,
            bodyBudget,
            () -> closingAfterAnswers,
            () -> closeNotice);
    connections.add(connection);
    channel
        .closeFuture()
        .addListener(
            closed -> {
              connections.remove(connection);
              connection.stopBeingUsable();
            });
    channel
        .pipeline()
        .addLast(connection.firstByteDetector())
        .addLast(
            new HttpServerCodec(
                new HttpDecoderConfig()
                    .setMaxInitialLineLength(config.maxHeaderBytes())
                    .setMaxHeaderSize(config.maxHeaderBytes())))
        .addLast(connection);
  }
}
