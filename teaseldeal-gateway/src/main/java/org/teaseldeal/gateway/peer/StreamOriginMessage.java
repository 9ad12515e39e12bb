package org.teaseldeal.gateway.peer;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import org.teaseldeal.gateway.stream.StreamKey;

/** A datagram that tells another instance at which software version a stream began. */
public record StreamOriginMessage(StreamKey stream, String version) {
  /** The first byte, which no load message begins with: those begin with their layout's number. */
  private static final byte TYPE = 'V';

  private static final byte LAYOUT = 1;

  /** Returns whether a datagram is a message of this kind. */
  public static boolean isEncodedIn(byte[] datagram) {
    return datagram.length > 0 && datagram[0] == TYPE;
  }

  /** Returns the message as a datagram. */
  public byte[] encode() {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (DataOutputStream out = new DataOutputStream(bytes)) {
      out.writeByte(TYPE);
      out.writeByte(LAYOUT);
      out.writeLong(stream.hash());
      out.writeUTF(version);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return bytes.toByteArray();
  }

  /**
   * Decodes a message.
   *
   * @throws IllegalArgumentException if {@code datagram} doesn't have this layout
   */
  public static StreamOriginMessage decode(byte[] datagram) {
    try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(datagram))) {
      byte type = in.readByte();
      byte layout = in.readByte();
      if (type != TYPE || layout != LAYOUT) {
        throw new IllegalArgumentException(
            "type and layout were %d and %d, expected %d and %d"
                .formatted(type, layout, TYPE, LAYOUT));
      }
      StreamOriginMessage message =
          new StreamOriginMessage(new StreamKey(in.readLong()), in.readUTF());
      if (in.available() > 0) {
        throw new IllegalArgumentException(in.available() + " bytes follow the message");
      }
      return message;
    } catch (IOException e) {
      throw new IllegalArgumentException("the message is truncated", e);
    }
  }
}
