package org.teaseldeal.gateway.peer;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;

/**
 * What an instance has outstanding at each backend server, and what it has lately sent there.
 *
 * @param instance the sender
 * @param sequence rises with each message, so that one that was overtaken is dropped
 */
record LoadNews(String instance, long sequence, List<ServerLoad> loads, List<SentPart> sentParts) {
  /**
   * One server's part.
   *
   * @param server a hash of the server's id and start, which are too long to send so often
   */
  record ServerLoad(long server, int running, int promptTokensAhead) {}

  /**
   * A part of a prompt that was sent to a server for the first time.
   *
   * @param server as in {@link ServerLoad}
   * @param part a hash of the part's id
   */
  record SentPart(long server, long part) {}

  private static final byte LAYOUT = 2;

  LoadNews {
    loads = List.copyOf(loads);
    sentParts = List.copyOf(sentParts);
  }

  byte[] encode() {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (DataOutputStream out = new DataOutputStream(bytes)) {
      out.writeByte(LAYOUT);
      out.writeUTF(instance);
      out.writeLong(sequence);
      out.writeShort(loads.size());
      for (ServerLoad load : loads) {
        out.writeLong(load.server());
        out.writeShort(Math.min(load.running(), Short.MAX_VALUE));
        out.writeInt(load.promptTokensAhead());
      }
      out.writeShort(sentParts.size());
      for (SentPart sent : sentParts) {
        out.writeLong(sent.server());
        out.writeLong(sent.part());
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return bytes.toByteArray();
  }

  /**
   * Reads a message.
   *
   * @throws IllegalArgumentException if it is none of this layout
   */
  static LoadNews decode(byte[] message) {
    try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(message))) {
      byte layout = in.readByte();
      if (layout != LAYOUT) {
        throw new IllegalArgumentException("layout was %d, expected %d".formatted(layout, LAYOUT));
      }
      String instance = in.readUTF();
      long sequence = in.readLong();
      int count = in.readUnsignedShort();
      List<ServerLoad> loads = new ArrayList<>();
      for (int i = 0; i < count; i++) {
        loads.add(new ServerLoad(in.readLong(), in.readUnsignedShort(), in.readInt()));
      }
      int sentCount = in.readUnsignedShort();
      List<SentPart> sentParts = new ArrayList<>();
      for (int i = 0; i < sentCount; i++) {
        sentParts.add(new SentPart(in.readLong(), in.readLong()));
      }
      return new LoadNews(instance, sequence, loads, sentParts);
    } catch (IOException e) {
      throw new IllegalArgumentException("the message is too short", e);
    }
  }
}
