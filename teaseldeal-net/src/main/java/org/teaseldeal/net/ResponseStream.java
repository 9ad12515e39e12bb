package org.teaseldeal.net;

/** The body of an answer, sent in chunks. */
public interface ResponseStream {
  /** Sends a part of the body. */
  void write(byte[] part);

  /** Returns the number of bytes written to this stream that the connection has not sent yet. */
  long pendingBytes();

  /** Completes the answer. */
  void finish();

  /**
   * Closes the connection without the last chunk, so that the caller can tell that the answer is
   * incomplete.
   */
  void abort();
}
