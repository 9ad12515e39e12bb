package org.teaseldeal.router.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.codahale.metrics.MetricRegistry;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.teaseldeal.api.IncarnationId;
import org.teaseldeal.core.command.InstanceCommand;
import org.teaseldeal.core.event.InstanceEvent;
import org.teaseldeal.net.IpAddresses;
import org.teaseldeal.router.fake.Await;
import org.teaseldeal.wire.gen.peer.DrawAck;
import org.teaseldeal.wire.gen.peer.Envelope;
import org.teaseldeal.wire.gen.peer.Message;
import org.teaseldeal.wire.gen.peer.StateChunk;

@Timeout(30)
class PeerMessagingTests {
  private static final PeerTimings SHORT_TIMINGS =
      new PeerTimings(
          Duration.ofMillis(20),
          Duration.ofMillis(200),
          Duration.ofMillis(10),
          Duration.ofMillis(50),
          Duration.ofMinutes(1));

  private final MetricRegistry metrics = new MetricRegistry();
  private final LinkedBlockingQueue<InstanceEvent> events = new LinkedBlockingQueue<>();
  private final PeerServer server =
      PeerServer.start("127.0.0.1", 0, SHORT_TIMINGS, events::add, metrics);
  private final PeerSender sender =
      new PeerSender(new IncarnationId("r2.y"), SHORT_TIMINGS, new Random(1), metrics);

  PeerMessagingTests() throws IOException {}

  @AfterEach
  void close() {
    sender.close();
    server.close();
  }

  @Test
  void messagesArriveInOrderWithTheSendersIncarnation() throws Exception {
    for (int i = 1; i <= 100; i++) {
      send(server.address(), message(i));
    }
    for (int i = 1; i <= 100; i++) {
      assertEquals(
          new InstanceEvent.PeerMessageReceived(new IncarnationId("r2.y"), message(i)),
          nextEvent());
    }
  }

  @Test
  void aConnectionInUseIsNotClosedAsSilent() throws Exception {
    // Guards against reconnections that lose messages in flight. Messages travel in one direction
    // only. If the receiver sent nothing back, the sender would consider a working connection
    // silent and close it again and again.
    long end = System.nanoTime() + SHORT_TIMINGS.silenceTimeout().multipliedBy(4).toNanos();
    while (System.nanoTime() < end) {
      send(server.address(), message(1));
      nextEvent();
    }
    assertEquals(0, metrics.counter("peer_reconnects").getCount());
  }

  @Test
  void unknownAndUndecodableMessagesAreCountedAndTheConnectionStaysOpen() throws Exception {
    // Guards against connections that a newer instance can't use. It sends a version and a kind of
    // message that this instance doesn't know, and bytes that it can't decode. Closing the
    // connection would lose the messages that both instances know.
    try (Socket socket = new Socket()) {
      socket.connect(server.address());
      DataOutputStream out = new DataOutputStream(socket.getOutputStream());
      writeFrame(out, envelope(2, message(1)));
      writeFrame(out, withUnknownKind());
      writeFrame(out, new byte[] {127, 127, 127});
      writeFrame(out, new byte[(1 << 20) + 100]);
      writeFrame(out, envelope(1, message(5)));
      assertEquals(
          new InstanceEvent.PeerMessageReceived(new IncarnationId("r2.y"), message(5)),
          nextEvent());
    }
    assertEquals(2, metrics.counter("peer_messages_unknown").getCount());
    assertEquals(2, metrics.counter("peer_messages_undecodable").getCount());
  }

  @Test
  void aSilentConnectionIsReplaced() throws Exception {
    // Guards against a sender that keeps losing messages on a broken connection. The first one
    // accepts everything and never answers, as after a device on the network path has dropped the
    // state of the connection. The sender opens another connection.
    List<Socket> accepted = new ArrayList<>();
    try (ServerSocket silent = new ServerSocket(0, 10, InetAddress.getByName("127.0.0.1"))) {
      InetSocketAddress address = (InetSocketAddress) silent.getLocalSocketAddress();
      send(address, message(1));
      accepted.add(silent.accept());
      while (accepted.size() < 2) {
        send(address, message(2));
        silent.setSoTimeout(50);
        try {
          accepted.add(silent.accept());
        } catch (java.net.SocketTimeoutException e) {
          continue;
        }
      }
      assertEquals(2, accepted.size());
    }
    for (Socket socket : accepted) {
      socket.close();
    }
  }

  @Test
  void messagesForAnAbsentPeerAreBoundedAndTheOldestAreDropped() throws Exception {
    // Guards against a queue that grows without limit while a peer can't be reached. It holds 1024
    // envelopes, so 100 of the 1124 are dropped.
    InetSocketAddress address;
    try (ServerSocket closed = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      address = (InetSocketAddress) closed.getLocalSocketAddress();
    }
    for (int i = 1; i <= 1124; i++) {
      send(address, message(i));
    }
    Await.until(() -> metrics.counter("peer_messages_dropped").getCount() == 100);
    try (PeerServer late =
        PeerServer.start("127.0.0.1", address.getPort(), SHORT_TIMINGS, events::add, metrics)) {
      assertEquals(
          new InstanceEvent.PeerMessageReceived(new IncarnationId("r2.y"), message(101)),
          nextEvent());
    }
  }

  private void send(InetSocketAddress address, Message message) {
    sender.send(new InstanceCommand.SendPeerMessage(IpAddresses.format(address), message));
  }

  private InstanceEvent nextEvent() throws InterruptedException {
    InstanceEvent event = events.poll(20, TimeUnit.SECONDS);
    if (event == null) {
      throw new AssertionError("no message arrived within 20 s");
    }
    return event;
  }

  private static Message message(long number) {
    return Message.drawAck(new DrawAck(number));
  }

  private static byte[] envelope(int version, Message message) throws Exception {
    return new TSerializer(new TCompactProtocol.Factory())
        .serialize(new Envelope(version, "r2.y", message));
  }

  /** Returns an envelope whose message has the field number of no known kind. */
  private static byte[] withUnknownKind() throws Exception {
    byte[] bytes = envelope(1, Message.stateChunk(new StateChunk()));
    // In the compact protocol, a field header holds the difference to the preceding field number in
    // its upper four bits and the type in its lower four. The message's kind is field 10 of type
    // struct (12), with difference 10. It is replaced by difference 15, a field that no kind has.
    for (int i = 0; i < bytes.length; i++) {
      if (bytes[i] == (byte) 0xac) {
        bytes[i] = (byte) 0xfc;
        return bytes;
      }
    }
    throw new AssertionError("the field header of the message's kind was not found");
  }

  private static void writeFrame(DataOutputStream out, byte[] bytes) throws IOException {
    out.writeInt(bytes.length);
    out.write(bytes);
    out.flush();
  }
}
