package org.teaseldeal.net;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * The ways in which HTTP marks the end of an answer's body, with their encoding.
 *
 * <p>All encoded answers are the last ones of their connections. Where nothing else says so, the
 * head does: a client could send its next request while the connection is being closed.
 */
public enum AnswerFraming {
  /** The head states the length. */
  LENGTH("HTTP/1.1") {
    @Override
    String header(int bodyLength) {
      return "connection: close\r\ncontent-length: %d\r\n".formatted(bodyLength);
    }
  },
  /** The last chunk marks the end. */
  CHUNKS("HTTP/1.1") {
    @Override
    String header(int bodyLength) {
      return "connection: close\r\ntransfer-encoding: chunked\r\n";
    }

    @Override
    public byte[] part(byte[] part) {
      ByteArrayOutputStream chunk = new ByteArrayOutputStream(part.length + CHUNK_OVERHEAD);
      chunk.writeBytes(ascii(Integer.toHexString(part.length) + "\r\n"));
      chunk.writeBytes(part);
      chunk.writeBytes(ascii("\r\n"));
      return chunk.toByteArray();
    }

    @Override
    public byte[] end() {
      return ascii("0\r\n\r\n");
    }
  },
  /** The end of the connection marks the end. */
  CONNECTION_END("HTTP/1.1"),
  /** Like {@link #CONNECTION_END}, as servers of the older protocol version answer. */
  HTTP_1_0("HTTP/1.0");

  private static final int CHUNK_OVERHEAD = 12;

  private final String version;

  AnswerFraming(String version) {
    this.version = version;
  }

  /** Returns whether only the end of the connection marks the end of the body. */
  public boolean endsWithConnection() {
    return this == CONNECTION_END || this == HTTP_1_0;
  }

  /** Encodes a head; {@code bodyLength} is ignored by framings that do not state it. */
  public byte[] head(int status, Map<String, String> headers, int bodyLength) {
    StringBuilder head = new StringBuilder("%s %d status\r\n".formatted(version, status));
    headers.forEach((name, value) -> head.append("%s: %s\r\n".formatted(name, value)));
    return ascii(head + header(bodyLength) + "\r\n");
  }

  /** Encodes a part of the body, which must not be empty. */
  public byte[] part(byte[] part) {
    return part;
  }

  /** Encodes what follows the last part of the body. */
  public byte[] end() {
    return new byte[0];
  }

  /** Encodes a whole answer whose body is sent in the given parts. */
  public byte[] encode(int status, Map<String, String> headers, byte[]... parts) {
    int length = 0;
    for (byte[] part : parts) {
      length += part.length;
    }
    ByteArrayOutputStream encoded = new ByteArrayOutputStream();
    encoded.writeBytes(head(status, headers, length));
    for (byte[] part : parts) {
      if (part.length > 0) {
        encoded.writeBytes(part(part));
      }
    }
    encoded.writeBytes(end());
    return encoded.toByteArray();
  }

  /** Returns the headers that belong to the framing. */
  String header(int bodyLength) {
    return "";
  }

  private static byte[] ascii(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }
}
