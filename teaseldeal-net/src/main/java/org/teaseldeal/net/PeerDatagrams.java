package org.teaseldeal.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.io.IOException;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends and receives datagrams between instances: small messages that may be lost, duplicated or
 * delayed.
 */
public final class PeerDatagrams {
  private static final Logger LOG = LoggerFactory.getLogger(PeerDatagrams.class);

  private final Channel channel;
  private volatile Consumer<byte[]> receiver = message -> {};

  /**
   * Binds to {@code address}, {@code host:port} with the host as an IP address.
   *
   * @throws IOException if the address cannot be bound
   */
  public PeerDatagrams(EventLoop loop, String address) throws IOException {
    ChannelFuture bound =
        new Bootstrap()
            .group(loop)
            .channel(NioDatagramChannel.class)
            .handler(new Receiver())
            .bind(IpAddresses.parse(address))
            .awaitUninterruptibly();
    if (!bound.isSuccess()) {
      throw new IOException(
          "cannot bind %s: %s".formatted(address, bound.cause().getMessage()), bound.cause());
    }
    channel = bound.channel();
  }

  /** Passes each message received from now on to {@code consumer}, on the event loop. */
  public void setReceiver(Consumer<byte[]> consumer) {
    receiver = consumer;
  }

  /** Sends a message to {@code address}, {@code host:port} with the host as an IP address. */
  public void send(String address, byte[] message) {
    channel.writeAndFlush(
        new DatagramPacket(Unpooled.wrappedBuffer(message), IpAddresses.parse(address)),
        channel.voidPromise());
  }

  /** Stops receiving. */
  public void close() {
    channel.close().awaitUninterruptibly();
  }

  private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
      ByteBuf content = packet.content();
      byte[] message = new byte[content.readableBytes()];
      content.readBytes(message);
      receiver.accept(message);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      // An unreachable peer causes a network error here; later messages may still arrive.
      LOG.debug(
          "network error on the datagram socket; continuing to receive: {}", cause.toString());
    }
  }
}
