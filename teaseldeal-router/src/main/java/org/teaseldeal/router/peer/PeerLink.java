package org.teaseldeal.router.peer;

import com.codahale.metrics.Counter;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.teaseldeal.net.SharedEventLoops;

/**
 * Sends envelopes to one other instance over a TCP connection, which is replaced whenever it fails
 * or becomes silent.
 *
 * <p>Envelopes that were written to a connection that then failed are lost. While there is no
 * connection, envelopes are queued, and the oldest are dropped when the queue is full. Both losses
 * are harmless, because the instance repeats every message or supersedes it by the next one.
 */
final class PeerLink {
  private static final int LENGTH_PREFIX_BYTES = 4;
  private static final int MAX_QUEUED_ENVELOPES = 1024;
  private static final int MAX_QUEUED_BYTES = 8 << 20;
  private static final int CONNECT_TIMEOUT_MS = 1000;

  private final EventLoop loop = SharedEventLoops.eventLoopGroup().next();
  private final InetSocketAddress address;
  private final PeerTimings timings;
  private final RandomGenerator random;
  private final Counter dropped;
  private final Counter reconnects;
  private final Runnable onIdleClose;

  /** The envelopes to send. This field and those below are accessed by {@code loop} only. */
  private final Deque<byte[]> queue = new ArrayDeque<>();

  private long queuedBytes;
  private @Nullable Channel channel;
  private boolean connecting;
  private boolean closed;
  private Duration backoff;
  private long lastUseNanos = System.nanoTime();

  PeerLink(
      InetSocketAddress address,
      PeerTimings timings,
      RandomGenerator random,
      Counter dropped,
      Counter reconnects,
      Runnable onIdleClose) {
    this.address = address;
    this.timings = timings;
    this.random = random;
    this.dropped = dropped;
    this.reconnects = reconnects;
    this.onIdleClose = onIdleClose;
    this.backoff = timings.firstBackoff();
  }

  void send(byte[] envelope) {
    loop.execute(() -> enqueue(envelope));
  }

  void close() {
    loop.execute(this::closeNow);
  }

  private void closeNow() {
    closed = true;
    queue.clear();
    queuedBytes = 0;
    if (channel != null) {
      channel.close();
    }
  }

  private void enqueue(byte[] envelope) {
    if (closed) {
      dropped.inc();
      return;
    }
    lastUseNanos = System.nanoTime();
    queue.addLast(envelope);
    queuedBytes += envelope.length;
    while (queue.size() > MAX_QUEUED_ENVELOPES || queuedBytes > MAX_QUEUED_BYTES) {
      queuedBytes -= queue.removeFirst().length;
      dropped.inc();
    }
    flushOrConnect();
  }

  private void flushOrConnect() {
    if (channel != null) {
      flush(channel);
    } else if (!connecting) {
      connect();
    }
  }

  private void flush(Channel out) {
    while (out.isWritable() && !queue.isEmpty()) {
      byte[] next = queue.removeFirst();
      queuedBytes -= next.length;
      out.write(Unpooled.wrappedBuffer(next));
    }
    out.flush();
  }

  private void connect() {
    connecting = true;
    new Bootstrap()
        .group(loop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
        .handler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel socket) {
                configurePipeline(socket);
              }
            })
        .connect(address)
        .addListener((ChannelFutureListener) this::onConnected);
  }

  private void configurePipeline(SocketChannel socket) {
    socket
        .pipeline()
        .addLast(
            new IdleStateHandler(timings.silenceTimeout().toMillis(), 0, 0, TimeUnit.MILLISECONDS))
        .addLast(
            new LengthFieldBasedFrameDecoder(
                EnvelopeCodec.MAX_ENVELOPE_BYTES + LENGTH_PREFIX_BYTES,
                0,
                LENGTH_PREFIX_BYTES,
                0,
                LENGTH_PREFIX_BYTES))
        .addLast(new LengthFieldPrepender(LENGTH_PREFIX_BYTES))
        .addLast(new ConnectionHandler());
  }

  private void onConnected(ChannelFuture done) {
    connecting = false;
    if (closed) {
      done.channel().close();
      return;
    }
    if (!done.isSuccess()) {
      scheduleReconnect();
      return;
    }
    Channel connected = done.channel();
    channel = connected;
    // Probes are sent at a fixed rate, also while messages are sent: only probes are answered, so
    // only they show that the connection works.
    Future<?> probeTimer =
        loop.scheduleAtFixedRate(
            () -> probeOrCloseIdle(connected),
            0,
            timings.probeInterval().toNanos(),
            TimeUnit.NANOSECONDS);
    connected
        .closeFuture()
        .addListener(
            closeFuture -> {
              probeTimer.cancel(false);
              onDisconnected();
            });
    flush(connected);
  }

  private void onDisconnected() {
    channel = null;
    if (!closed && !queue.isEmpty()) {
      scheduleReconnect();
    }
  }

  /**
   * Schedules a reconnection after the back-off, whose second half is random so that the instances
   * of a fleet don't all reconnect at the same moment.
   */
  private void scheduleReconnect() {
    reconnects.inc();
    connecting = true;
    long half = backoff.toNanos() / 2;
    loop.schedule(this::reconnect, half + random.nextLong(Math.max(1, half)), TimeUnit.NANOSECONDS);
    Duration doubled = backoff.multipliedBy(2);
    backoff = doubled.compareTo(timings.maxBackoff()) < 0 ? doubled : timings.maxBackoff();
  }

  private void reconnect() {
    connecting = false;
    if (!closed && !queue.isEmpty()) {
      connect();
    }
  }

  /** Sends an empty frame, which the peer answers with one, or closes an idle connection. */
  private void probeOrCloseIdle(Channel out) {
    if (isIdle()) {
      closeNow();
      onIdleClose.run();
    } else if (out.isWritable()) {
      out.writeAndFlush(Unpooled.EMPTY_BUFFER);
    }
  }

  private boolean isIdle() {
    return System.nanoTime() - lastUseNanos > timings.idleTimeout().toNanos();
  }

  private final class ConnectionHandler extends SimpleChannelInboundHandler<ByteBuf> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
      backoff = timings.firstBackoff();
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
      if (event instanceof IdleStateEvent) {
        // The peer answers no probe any more. A device on the network path may have dropped the
        // state of this connection, in which case a new connection still works.
        ctx.close();
      }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
      if (ctx.channel().isWritable()) {
        flush(ctx.channel());
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}
