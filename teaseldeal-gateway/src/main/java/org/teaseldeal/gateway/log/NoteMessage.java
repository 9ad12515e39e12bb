package org.teaseldeal.gateway.log;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;

/** A note as a datagram, which reaches the other instances sooner than the shared log. */
public final class NoteMessage {
  /** The first byte, which no message of another kind begins with. */
  private static final byte TYPE = 'N';

  private NoteMessage() {}

  /** Returns whether a datagram is a message of this kind. */
  public static boolean isEncodedIn(byte[] datagram) {
    return datagram.length > 0 && datagram[0] == TYPE;
  }

  /** Returns a note as a datagram. */
  public static byte[] encode(SharedNote note) {
    KeyedRecord record = NoteCodec.encode(note);
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (DataOutputStream out = new DataOutputStream(bytes)) {
      out.writeByte(TYPE);
      out.writeUTF(record.key());
      out.write(record.value());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return bytes.toByteArray();
  }

  /**
   * Decodes a note.
   *
   * @throws IllegalArgumentException if {@code datagram} holds none
   */
  public static SharedNote decode(byte[] datagram) {
    try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(datagram))) {
      byte type = in.readByte();
      if (type != TYPE) {
        throw new IllegalArgumentException("type was %d, expected %d".formatted(type, TYPE));
      }
      return NoteCodec.decode(new KeyedRecord(in.readUTF(), in.readAllBytes()));
    } catch (IOException e) {
      throw new IllegalArgumentException("the message is truncated", e);
    }
  }
}
