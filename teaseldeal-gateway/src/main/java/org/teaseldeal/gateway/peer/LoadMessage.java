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
 * A message with the load that instances have outstanding at each backend server, and with the
 * prompt parts that were recently sent there.
 *
 * @param scope the instances whose load and prompt parts the message contains
 * @param sender the name of the instance that sends the message
 * @param sequence increases with each message of the sender, so that a message that arrives after a
 *     later one is dropped
 * @param complete whether servers that the message doesn't contain have no load; if false, their
 *     loads are unchanged
 * @param loads the loads by server; a load of zero cancels the one of an earlier message
 */
record LoadMessage(
    Scope scope,
    String sender,
    long sequence,
    boolean complete,
    List<ServerLoad> loads,
    List<SentPart> sentParts) {
  /** The instances whose load a message contains. The ordinal is part of the encoding. */
  enum Scope {
    /** The sender only. */
    INSTANCE,
    /** The sender and the instances that report to it. */
    GROUP,
    /** All instances except the receiver. */
    OTHERS
  }

  /**
   * The load at one server.
   *
   * @param serverHash a hash of the server's id and start time; the id itself would make the
   *     frequent messages too long
   */
  record ServerLoad(int serverHash, int running, long promptTokensAhead) {}

  /**
   * A part of a prompt that was sent to a server for the first time.
   *
   * @param serverHash the same hash as in {@link ServerLoad}
   * @param partHash a hash of the part's id
   */
  record SentPart(int serverHash, long partHash) {}

  private static final byte LAYOUT_VERSION = 3;

  /**
   * The number of value bits in each byte of a variable-length number. The highest bit of a byte
   * says that more bytes follow.
   */
  private static final int VALUE_BITS_PER_BYTE = 7;

  private static final int CONTINUATION_BIT = 1 << VALUE_BITS_PER_BYTE;
  private static final int MAX_NUMBER_BITS = 56;

  LoadMessage {
    loads = List.copyOf(loads);
    sentParts = List.copyOf(sentParts);
  }

  byte[] encode() {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (DataOutputStream out = new DataOutputStream(bytes)) {
      out.writeByte(LAYOUT_VERSION);
      out.writeByte(scope.ordinal());
      out.writeUTF(sender);
      out.writeLong(sequence);
      out.writeBoolean(complete);
      writeNumber(out, loads.size());
      for (ServerLoad load : loads) {
        out.writeInt(load.serverHash());
        writeNumber(out, load.running());
        writeNumber(out, load.promptTokensAhead());
      }
      writeNumber(out, sentParts.size());
      for (SentPart sent : sentParts) {
        out.writeInt(sent.serverHash());
        out.writeLong(sent.partHash());
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return bytes.toByteArray();
  }

  /**
   * Decodes a message.
   *
   * @throws IllegalArgumentException if {@code message} doesn't have this layout
   */
  static LoadMessage decode(byte[] message) {
    try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(message))) {
      byte layout = in.readByte();
      if (layout != LAYOUT_VERSION) {
        throw new IllegalArgumentException(
            "layout of the load message was %d, expected %d".formatted(layout, LAYOUT_VERSION));
      }
      Scope scope = scope(in.readUnsignedByte());
      String sender = in.readUTF();
      long sequence = in.readLong();
      boolean complete = in.readBoolean();
      List<ServerLoad> loads = new ArrayList<>();
      for (long remaining = readNumber(in); remaining > 0; remaining--) {
        loads.add(new ServerLoad(in.readInt(), Math.toIntExact(readNumber(in)), readNumber(in)));
      }
      List<SentPart> sentParts = new ArrayList<>();
      for (long remaining = readNumber(in); remaining > 0; remaining--) {
        sentParts.add(new SentPart(in.readInt(), in.readLong()));
      }
      if (in.available() > 0) {
        throw new IllegalArgumentException(in.available() + " bytes follow the load message");
      }
      return new LoadMessage(scope, sender, sequence, complete, loads, sentParts);
    } catch (IOException e) {
      throw new IllegalArgumentException("the load message is truncated", e);
    } catch (ArithmeticException e) {
      throw new IllegalArgumentException("a request count is too large", e);
    }
  }

  private static Scope scope(int ordinal) {
    if (ordinal >= Scope.values().length) {
      throw new IllegalArgumentException("scope of the load message was " + ordinal);
    }
    return Scope.values()[ordinal];
  }

  private static void writeNumber(DataOutputStream out, long number) throws IOException {
    long remaining = number;
    while (remaining >= CONTINUATION_BIT) {
      out.writeByte((int) (remaining % CONTINUATION_BIT) | CONTINUATION_BIT);
      remaining /= CONTINUATION_BIT;
    }
    out.writeByte((int) remaining);
  }

  private static long readNumber(DataInputStream in) throws IOException {
    long number = 0;
    for (int shift = 0; shift < MAX_NUMBER_BITS; shift += VALUE_BITS_PER_BYTE) {
      int next = in.readUnsignedByte();
      number |= (long) (next % CONTINUATION_BIT) << shift;
      if (next < CONTINUATION_BIT) {
        return number;
      }
    }
    throw new IllegalArgumentException("a number takes more than 8 bytes");
  }
}
