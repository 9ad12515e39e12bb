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
 * What instances have outstanding at each backend server, and what was lately sent there.
 *
 * @param scope whose work it tells
 * @param sender the instance that tells it
 * @param sequence rises with each message of the sender, so that one that was overtaken is dropped
 * @param complete whether servers that aren't named have none of it; else nothing is said of them
 * @param loads by server; zero takes back what an earlier message told
 */
record LoadNews(
    Scope scope,
    String sender,
    long sequence,
    boolean complete,
    List<ServerLoad> loads,
    List<SentPart> sentParts) {
  /** Whose work a message tells. */
  enum Scope {
    /** The sender's own. */
    INSTANCE,
    /** The sender's own, and that of the instances that report to it. */
    GROUP,
    /** That of all instances but the one that is told. */
    OTHERS
  }

  /**
   * One server's part.
   *
   * @param server a hash of the server's id and start, which are too long to send so often
   */
  record ServerLoad(int server, int running, long promptTokensAhead) {}

  /**
   * A part of a prompt that was sent to a server for the first time.
   *
   * @param server as in {@link ServerLoad}
   * @param part a hash of the part's id
   */
  record SentPart(int server, long part) {}

  private static final byte LAYOUT = 3;

  /** Bits of a number in each octet; the highest bit says that more follow. */
  private static final int NUMBER_BITS = 7;

  private static final int MORE = 1 << NUMBER_BITS;
  private static final int LONGEST_NUMBER_BITS = 56;

  LoadNews {
    loads = List.copyOf(loads);
    sentParts = List.copyOf(sentParts);
  }

  byte[] encode() {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (DataOutputStream out = new DataOutputStream(bytes)) {
      out.writeByte(LAYOUT);
      out.writeByte(scope.ordinal());
      out.writeUTF(sender);
      out.writeLong(sequence);
      out.writeBoolean(complete);
      writeNumber(out, loads.size());
      for (ServerLoad load : loads) {
        out.writeInt(load.server());
        writeNumber(out, load.running());
        writeNumber(out, load.promptTokensAhead());
      }
      writeNumber(out, sentParts.size());
      for (SentPart sent : sentParts) {
        out.writeInt(sent.server());
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
      Scope scope = scope(in.readUnsignedByte());
      String sender = in.readUTF();
      long sequence = in.readLong();
      boolean complete = in.readBoolean();
      List<ServerLoad> loads = new ArrayList<>();
      for (long left = readNumber(in); left > 0; left--) {
        loads.add(new ServerLoad(in.readInt(), Math.toIntExact(readNumber(in)), readNumber(in)));
      }
      List<SentPart> sentParts = new ArrayList<>();
      for (long left = readNumber(in); left > 0; left--) {
        sentParts.add(new SentPart(in.readInt(), in.readLong()));
      }
      if (in.available() > 0) {
        throw new IllegalArgumentException(in.available() + " octets follow the message");
      }
      return new LoadNews(scope, sender, sequence, complete, loads, sentParts);
    } catch (IOException e) {
      throw new IllegalArgumentException("the message is too short", e);
    } catch (ArithmeticException e) {
      throw new IllegalArgumentException("a count is too large", e);
    }
  }

  private static Scope scope(int ordinal) {
    if (ordinal >= Scope.values().length) {
      throw new IllegalArgumentException("scope was " + ordinal);
    }
    return Scope.values()[ordinal];
  }

  private static void writeNumber(DataOutputStream out, long number) throws IOException {
    long left = number;
    while (left >= MORE) {
      out.writeByte((int) (left % MORE) | MORE);
      left /= MORE;
    }
    out.writeByte((int) left);
  }

  private static long readNumber(DataInputStream in) throws IOException {
    long number = 0;
    for (int shift = 0; shift < LONGEST_NUMBER_BITS; shift += NUMBER_BITS) {
      int octet = in.readUnsignedByte();
      number |= (long) (octet % MORE) << shift;
      if (octet < MORE) {
        return number;
      }
    }
    throw new IllegalArgumentException("a number is too long");
  }
}
