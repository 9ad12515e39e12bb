package org.teaseldeal.router.peer;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.apache.thrift.TException;
import org.teaseldeal.api.IncarnationId;
import org.teaseldeal.core.event.InstanceEvent;
import org.teaseldeal.net.IpAddresses;
import org.teaseldeal.net.SharedEventLoops;
import org.teaseldeal.wire.gen.peer.Envelope;

/**
 * Receives messages from other instances.
 *
 * <p>Connections carry frames with a length prefix of four bytes. An empty frame is a probe and is
 * answered with an empty frame, so that the sender can detect a connection that no longer works.
 * Messages that can't be decoded or are of an unknown kind are counted and ignored, since the
 * sender may be of a newer version.
 */
public final class PeerServer implements AutoCloseable {
  private static final int LENGTH_PREFIX_BYTES = 4;
  private static final int MAX_CONNECTIONS = 2048;

  private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private final PeerTimings timings;
  private final Consumer<InstanceEvent> events;
  private final Counter unknown;
  private final Counter undecodable;
  private final Channel listening;

  private PeerServer(
      String host,
      int port,
      PeerTimings timings,
      Consumer<InstanceEvent> events,
      MetricRegistry metrics)
      throws IOException {
    this.timings = timings;
    this.events = events;
    this.unknown = metrics.counter("peer_messages_unknown");
    this.undecodable = metrics.counter("peer_messages_undecodable");
    this.listening = bind(host, port);
  }

  /**
   * Starts listening.
   *
   * @throws IOException if the server can't listen on the address
   */
  public static PeerServer start(
      String host,
      int port,
      PeerTimings timings,
      Consumer<InstanceEvent> events,
      MetricRegistry metrics)
      throws IOException {
    return new PeerServer(host, port, timings, events, metrics);
  }

  /** Returns the address on which the server listens. */
  public InetSocketAddress address() {
    return (InetSocketAddress) listening.localAddress();
  }

  @Override
  public void close() {
    listening.close().awaitUninterruptibly();
    connections.close().awaitUninterruptibly();
  }

  private Channel bind(String host, int port) throws IOException {
    var bound =
        new ServerBootstrap()
            .group(SharedEventLoops.eventLoopGroup())
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    accept(channel);
                  }
                })
            .bind(IpAddresses.socketAddress(host, port))
            .awaitUninterruptibly();
    if (!bound.isSuccess()) {
      throw new IOException(
          "cannot listen on %s:%d: %s".formatted(host, port, bound.cause().getMessage()),
          bound.cause());
    }
    return bound.channel();
  }

  private void accept(SocketChannel channel) {
    if (connections.size() >= MAX_CONNECTIONS) {
      channel.close();
      return;
    }
    connections.add(channel);
    channel
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
        .addLast(new Receiver());
  }

  private final class Receiver extends SimpleChannelInboundHandler<ByteBuf> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
      if (!frame.isReadable()) {
        ctx.writeAndFlush(ctx.alloc().buffer(0));
        return;
      }
      byte[] bytes = new byte[frame.readableBytes()];
      frame.readBytes(bytes);
      receive(bytes);
    }

    private void receive(byte[] bytes) {
      Envelope envelope;
      try {
        envelope = EnvelopeCodec.decode(bytes);
      } catch (TException e) {
        undecodable.inc();
        return;
      }
      if (!EnvelopeCodec.isKnown(envelope)) {
        unknown.inc();
        return;
      }
      events.accept(
          new InstanceEvent.PeerMessageReceived(
              new IncarnationId(envelope.getSender()), envelope.getMessage()));
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
      if (event instanceof IdleStateEvent) {
        ctx.close();
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      if (cause instanceof TooLongFrameException) {
        // The decoder skips the oversized frame, so the connection can continue with the next one.
        undecodable.inc();
        return;
      }
      if (cause instanceof DecoderException) {
        undecodable.inc();
      }
      ctx.close();
    }
  }
}
