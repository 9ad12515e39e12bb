package org.teaseldeal.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;

/**
 * An HTTP/1.1 client that keeps connections open for later calls.
 *
 * <p>It never sends a request twice: what to do after a failure is the caller's decision, for which
 * {@link HttpFailure} says how far the call got.
 */
public final class HttpClient implements AutoCloseable {
  private final HttpClientConfig config;
  private final ConnectionPool pool;
  private final ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE, true);

  /** Creates a client. */
  public HttpClient(HttpClientConfig config) {
    this.config = config;
    this.pool = new ConnectionPool(config);
  }

  /** Sends a request; {@code listener} is told what comes of it, possibly before this returns. */
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
    sendTo(address, call);
    return call;
  }

  /**
   * Sends a request and gathers its answer, which has to arrive whole within the request's timeout.
   * The future fails with {@link HttpFailureException}; cancelling it cancels the call.
   */
  public CompletableFuture<HttpAnswer> fetch(HttpCallRequest request) {
    AnswerCollector collector = new AnswerCollector(config.maxAnswerBytes());
    HttpCall call = send(request, collector);
    collector.cancelWith(call, request.timeout());
    return collector.answer();
  }

  /** Closes the connections to {@code address} that have no call. */
  public void closeIdle(String address) {
    InetSocketAddress closed;
    try {
      closed = IpAddresses.parse(address);
    } catch (IllegalArgumentException e) {
      // Nothing can be connected to it, so nothing is.
      return;
    }
    for (ClientConnection idle = pool.takeIdle(closed);
        idle != null;
        idle = pool.takeIdle(closed)) {
      idle.discard();
    }
  }

  /** Closes all connections; calls under way fail. */
  @Override
  public void close() {
    channels.close().awaitUninterruptibly();
  }

  private void sendTo(InetSocketAddress address, ClientCall call) {
    ClientConnection pooled = pool.takeIdle(address);
    if (pooled != null) {
      pooled.start(call, () -> sendTo(address, call));
      return;
    }
    if (!pool.reserve(address)) {
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
            .group(NetRuntime.group())
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.SO_KEEPALIVE, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) connectMillis)
            .handler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    prepare(channel, address);
                  }
                })
            .connect(address);
    Channel channel = connecting.channel();
    channels.add(channel);
    channel.closeFuture().addListener(closed -> pool.release(address));
    call.connectingOn(channel);
    connecting.addListener((ChannelFutureListener) done -> connected(done, call));
  }

  private void prepare(SocketChannel channel, InetSocketAddress address) {
    channel
        .pipeline()
        .addLast(
            new HttpClientCodec(
                new HttpDecoderConfig()
                    .setMaxInitialLineLength(config.maxHeaderBytes())
                    .setMaxHeaderSize(config.maxHeaderBytes()),
                false,
                false))
        .addLast(new ClientConnection(channel, address, pool));
  }

  private static void connected(ChannelFuture connecting, ClientCall call) {
    if (!connecting.isSuccess()) {
      call.fail(HttpFailure.NOT_SENT, String.valueOf(connecting.cause().getMessage()));
      return;
    }
    ClientConnection connection = connecting.channel().pipeline().get(ClientConnection.class);
    connection.start(
        call, () -> call.fail(HttpFailure.NOT_SENT, "the connection closed before use"));
  }
}
