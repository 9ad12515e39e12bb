package org.teaseldeal.router.fake;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.teaseldeal.net.IpAddresses;

/** A client socket that sends text unchanged and reads the bytes of the answer as text. */
public final class RawConnection implements AutoCloseable {
  private static final int READ_TIMEOUT_MS = 20_000;

  private final Socket socket = new Socket();

  public RawConnection(String address) throws IOException {
    socket.connect(IpAddresses.parse(address));
    socket.setSoTimeout(READ_TIMEOUT_MS);
  }

  public RawConnection send(String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    return this;
  }

  public RawConnection shutdownOutput() throws IOException {
    socket.shutdownOutput();
    return this;
  }

  /** Reads until the server closes the connection. */
  public String readToEnd() throws IOException {
    return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
  }

  /** Reads until the text read so far ends with {@code suffix}. */
  public String readUntil(String suffix) throws IOException {
    StringBuilder read = new StringBuilder();
    while (!read.toString().endsWith(suffix)) {
      int next = socket.getInputStream().read();
      if (next < 0) {
        throw new IOException("connection closed after '%s'".formatted(read));
      }
      read.append((char) next);
    }
    return read.toString();
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
