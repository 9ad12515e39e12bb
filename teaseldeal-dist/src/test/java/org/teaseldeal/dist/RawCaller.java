package org.teaseldeal.dist;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.teaseldeal.net.IpAddresses;

/** A caller that sends all its requests on one connection, as long as that is possible. */
final class RawCaller implements AutoCloseable {
  private static final int TIMEOUT_MS = 30_000;

  private final Socket socket;

  private RawCaller(Socket socket) {
    this.socket = socket;
  }

  static RawCaller connect(String router) throws IOException {
    InetSocketAddress address = IpAddresses.parse(router);
    Socket socket = new Socket(address.getAddress(), address.getPort());
    socket.setSoTimeout(TIMEOUT_MS);
    return new RawCaller(socket);
  }

  /** Requests a streamed draft of {@code tokens} tokens. */
  void sendDraft(int tokens) throws IOException {
    String body =
        """
        {"model":"%s","stream":true,"max_tokens":%d,"x_output_tokens":%d,\
        "messages":[{"role":"user","content":"raw"}]}"""
            .formatted(Fleet.DRAFTS, tokens, tokens);
    String head =
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n"
                .formatted(Fleet.TOKEN)
            + "Content-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                .formatted(body.length());
    socket.getOutputStream().write((head + body).getBytes(StandardCharsets.US_ASCII));
  }

  /**
   * Reads up to the first occurrence of {@code end}.
   *
   * @throws EOFException if the connection ends before, with what was read
   */
  String readUntil(String end) throws IOException {
    StringBuilder received = new StringBuilder();
    InputStream in = socket.getInputStream();
    while (!received.toString().endsWith(end)) {
      int next = in.read();
      if (next < 0) {
        throw new EOFException("the connection ended after: " + received);
      }
      received.append((char) next);
    }
    return received.toString();
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
