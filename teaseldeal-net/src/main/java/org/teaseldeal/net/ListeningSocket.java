package org.teaseldeal.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.Promise;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A listening socket that can release its address without losing a connection.
 *
 * <p>If a listening socket is closed while callers connect, the system resets each connection that
 * it has established and that has not been accepted yet. Callers of a stopping server would then
 * send a request and receive no byte of an answer. A selector keeps a closed socket listening until
 * its next round, so {@link #release} first deregisters the socket from its selector, then accepts
 * the remaining connections and closes the socket at once.
 */
final class ListeningSocket {
  private static final Logger LOG = LoggerFactory.getLogger(ListeningSocket.class);

  private final ServerSocketChannel socket;
  private final Channel channel;

  private ListeningSocket(ServerSocketChannel socket, Channel channel) {
    this.socket = socket;
    this.channel = channel;
  }

  /**
   * Listens on {@code host}, an IP address; {@code bootstrap} sets up accepted connections.
   *
   * @throws IOException if the address cannot be bound
   */
  static ListeningSocket bind(ServerBootstrap bootstrap, String host, int port) throws IOException {
    ServerSocketChannel socket = ServerSocketChannel.open();
    var bound =
        bootstrap
            .group(SharedEventLoops.eventLoopGroup())
            .channelFactory(() -> new NioServerSocketChannel(socket))
            .option(ChannelOption.SO_REUSEADDR, true)
            .bind(IpAddresses.socketAddress(host, port))
            .awaitUninterruptibly();
    if (!bound.isSuccess()) {
      socket.close();
      throw new IOException(
          "cannot listen on %s:%d: %s".formatted(host, port, bound.cause().getMessage()),
          bound.cause());
    }
    return new ListeningSocket(socket, bound.channel());
  }

  /** Returns the address that the socket listens on. */
  InetSocketAddress address() {
    return (InetSocketAddress) channel.localAddress();
  }

  /** Returns the event loop that accepts connections. */
  EventLoop eventLoop() {
    return channel.eventLoop();
  }

  /**
   * Releases the address. The future is done when the address is free and the last connections have
   * reached their handlers.
   */
  Future<Void> release() {
    EventLoop loop = eventLoop();
    Promise<Void> released = loop.newPromise();
    // The selector drops the socket in the round after the one that cancels its key.
    loop.execute(
        () ->
            channel
                .deregister()
                .addListener(
                    done ->
                        SharedEventLoops.afterPendingInput(
                            loop,
                            () -> {
                              acceptRemaining();
                              completeAfterQueuedWork(released);
                            })));
    return released;
  }

  private void acceptRemaining() {
    List<SocketChannel> acceptedConnections = new ArrayList<>();
    try {
      for (SocketChannel connection = acceptNext(); connection != null; connection = acceptNext()) {
        acceptedConnections.add(connection);
      }
      socket.close();
    } catch (IOException e) {
      LOG.warn("failed to accept the remaining connections of {}; they are reset", address(), e);
    }
    for (SocketChannel connection : acceptedConnections) {
      channel.pipeline().fireChannelRead(new NioSocketChannel(channel, connection));
    }
    channel.pipeline().fireChannelReadComplete();
    channel.close();
  }

  /**
   * Returns the next established connection; null if there is none or the socket has been closed.
   */
  private @Nullable SocketChannel acceptNext() throws IOException {
    return socket.isOpen() ? socket.accept() : null;
  }

  /**
   * Completes {@code released} once each event loop has run the tasks that are now in its queue,
   * among them the registration of the last connections.
   */
  private static void completeAfterQueuedWork(Promise<Void> released) {
    List<EventExecutor> loops = new ArrayList<>();
    SharedEventLoops.eventLoopGroup().forEach(loops::add);
    AtomicInteger pendingLoops = new AtomicInteger(loops.size());
    for (EventExecutor loop : loops) {
      loop.execute(
          () -> {
            if (pendingLoops.decrementAndGet() == 0) {
              released.setSuccess(null);
            }
          });
    }
  }
}
