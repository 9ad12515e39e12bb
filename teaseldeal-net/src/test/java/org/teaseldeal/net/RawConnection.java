package org.teaseldeal.net;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A plain socket that sends raw text and reads the raw answer. */
final class RawConnection implements AutoCloseable {
  private static final int READ_TIMEOUT_MILLIS = 10_000;

  private final Socket socket = new Socket();
  private final InputStream in;

  RawConnection(InetSocketAddress address) throws IOException {
    socket.connect(address);
    socket.setSoTimeout(READ_TIMEOUT_MILLIS);
    in = new BufferedInputStream(socket.getInputStream());
  }

  RawConnection send(String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    return this;
  }

  RawConnection shutdownOutput() throws IOException {
    socket.shutdownOutput();
    return this;
  }

  /** Waits until there is something to read, and leaves it unread. */
  void awaitInput() throws IOException, InterruptedException {
    while (in.available() == 0) {
      Thread.sleep(5);
    }
  }

  /** Reads until the peer closes the connection. */
  String readToEnd() throws IOException {
    return new String(in.readAllBytes(), StandardCharsets.ISO_8859_1);
  }

  /** Reads until the text read so far ends with {@code suffix}. */
  String readUntil(String suffix) throws IOException {
    StringBuilder read = new StringBuilder();
    while (!endsWith(read, suffix)) {
      int next = in.read();
      if (next < 0) {
        throw new IOException("ended after '%s'".formatted(read));
      }
      read.append((char) next);
    }
    return read.toString();
  }

  private static boolean endsWith(StringBuilder text, String suffix) {
    int start = text.length() - suffix.length();
    return start >= 0 && text.indexOf(suffix, start) == start;
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
