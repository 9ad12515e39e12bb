package org.teaseldeal.net;

/**
 * An answer that its handler encodes, head included, so that it can have any framing and break off
 * at any byte. Meant for emulators of other servers.
 *
 * <p>The connection always ends with the answer.
 */
public interface EncodedAnswer {
  /** Sends bytes as they are. */
  void write(byte[] bytes);

  /** Closes the connection in order, after the bytes written so far. */
  void close();

  /** Resets the connection after the bytes written so far; the caller may lose some of them. */
  void reset();
}
