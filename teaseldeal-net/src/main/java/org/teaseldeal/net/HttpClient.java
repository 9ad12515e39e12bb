package org.teaseldeal.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;

/**
 * An HTTP/1.1 client with a pool of persistent connections.
 *
 * <p>It never retries a request: the caller decides what to do after a failure, from the {@link
 * HttpFailure} that says how far the call got.
 */
public final class HttpClient implements AutoCloseable {
  private static final int NO_CONNECT_TIMEOUT = 0;

  /**
   * Limits of a single read from a connection. Without them a server that sends without end would
   * keep the event loop from the other connections for tens of milliseconds.
   */
  private static final int MIN_READ_BYTES = 64;

  private static final int INITIAL_READ_BYTES = 2048;
  private static final int MAX_READ_BYTES = 16_384;
  private static final int MAX_READS_IN_A_ROW = 4;

  private final HttpClientConfig config;
  private final ConnectionPool pool;
  private final ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE, true);

  public HttpClient(HttpClientConfig config) {
    this.config = config;
    this.pool = new ConnectionPool(config);
  }

  /**
   * Sends a request; {@code listener} receives the outcome, possibly before this method returns.
   */
  public HttpCall send(HttpCallRequest request, HttpListener listener) {
    ClientCall call = new ClientCall(request, listener);
    InetSocketAddress address;
    try {
      address = IpAddresses.parse(request.address());
    } catch (IllegalArgumentException e) {
      call.fail(HttpFailure.NOT_SENT, String.valueOf(e.getMessage()));
      return call;
    }
    call.startTimeout();
    sendOrConnect(address, call);
    return call;
  }

  /**
   * Sends a request and collects its answer, which has to arrive completely within the request's
   * timeout. The future fails with {@link HttpFailureException}; cancelling it cancels the call.
   */
  public CompletableFuture<HttpAnswer> fetch(HttpCallRequest request) {
    return fetch(request, CallMatcher.BY_PLACE);
  }

  /** Fetches an answer like {@link #fetch(HttpCallRequest)}, but only one that names the call. */
  public CompletableFuture<HttpAnswer> fetch(HttpCallRequest request, CallMatcher matcher) {
    AnswerCollector collector = new AnswerCollector(config.maxAnswerBytes(), matcher);
    HttpCall call = send(request, collector);
    collector.cancelOnCompletion(call, request.timeout());
    return collector.answer();
  }

  /**
   * Fetches an answer like {@link #fetch(HttpCallRequest)}, but one that has begun may take longer
   * than the request's timeout: as long as it goes on arriving, it has another {@code extension}.
   */
  public CompletableFuture<HttpAnswer> fetchWhileArriving(
      HttpCallRequest request, Duration extension) {
    AnswerCollector collector = new AnswerCollector(config.maxAnswerBytes(), CallMatcher.BY_PLACE);
    HttpCall call = send(request, collector);
    collector.cancelOnCompletionOrSilence(call, request.timeout(), extension);
    return collector.answer();
  }

  /** Closes the idle connections to {@code address}. */
  public void closeIdle(String address) {
    InetSocketAddress socketAddress;
    try {
      socketAddress = IpAddresses.parse(address);
    } catch (IllegalArgumentException e) {
      // There is no connection to an address that cannot be parsed.
      return;
    }
    for (ClientConnection idle = pool.takeIdle(socketAddress);
        idle != null;
        idle = pool.takeIdle(socketAddress)) {
      idle.discard();
    }
  }

  /** Closes all connections; calls in flight fail. */
  @Override
  public void close() {
    channels.close().awaitUninterruptibly();
  }

  private void sendOrConnect(InetSocketAddress address, ClientCall call) {
    ClientConnection pooled = pool.takeIdle(address);
    if (pooled != null) {
      pooled.start(call, () -> sendOrConnect(address, call));
      return;
    }
    if (!pool.tryReserve(address)) {
      call.fail(
          HttpFailure.NOT_SENT,
          "%d connections to %s are in use, expected fewer"
              .formatted(config.maxConnectionsPerAddress(), call.request().address()));
      return;
    }
    connect(address, call);
  }

  private void connect(InetSocketAddress address, ClientCall call) {
    long connectMillis =
        Math.clamp(call.request().timeout().toMillis(), 1, config.connectTimeout().toMillis());
    ChannelFuture connecting =
        new Bootstrap()
            .group(SharedEventLoops.eventLoopGroup())
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.SO_KEEPALIVE, true)
            .option(
                ChannelOption.RECVBUF_ALLOCATOR,
                new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES)
                    .maxMessagesPerRead(MAX_READS_IN_A_ROW))
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, NO_CONNECT_TIMEOUT)
            // An orderly close by the server is then an event of its own. Otherwise the channel is
            // closed in the same way as after a failure.
            .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
            .handler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    ClientConnection.install(channel, address, pool);
                  }
                })
            .connect(address);
    Channel channel = connecting.channel();
    channels.add(channel);
    channel.closeFuture().addListener(closed -> pool.release(address));
    call.setConnectingChannel(channel);
    connecting.addListener((ChannelFutureListener) done -> onConnected(done, call));
    limitConnectTime(connecting, connectMillis, call);
  }

  /** Unlike the timeout of the channel itself, counts a connection that was opened meanwhile. */
  private static void limitConnectTime(
      ChannelFuture connecting, long connectMillis, ClientCall call) {
    EventLoop loop = connecting.channel().eventLoop();
    Runnable failure =
        () -> {
          if (!connecting.isDone()) {
            call.fail(HttpFailure.NOT_SENT, "no connection within %d ms".formatted(connectMillis));
            connecting.channel().close();
          }
        };
    Future<?> timer =
        SharedEventLoops.scheduleAfterPendingInput(loop, Duration.ofMillis(connectMillis), failure);
    connecting.addListener(done -> timer.cancel(false));
  }

  private static void onConnected(ChannelFuture connecting, ClientCall call) {
    if (!connecting.isSuccess()) {
      call.fail(HttpFailure.NOT_SENT, String.valueOf(connecting.cause().getMessage()));
      return;
    }
    ClientConnection connection = connecting.channel().pipeline().get(ClientConnection.class);
    connection.start(
        call, () -> call.fail(HttpFailure.NOT_SENT, "the connection closed before use"));
  }
}
