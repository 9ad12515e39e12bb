package org.teaseldeal.gateway.fake;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.teaseldeal.net.IpAddresses;

/** A fake server whose answers a test writes byte by byte. */
public final class ScriptedPeer implements AutoCloseable {
  /**
   * A received request.
   *
   * @param position the position among the requests of its connection, from 1
   * @param headers the headers, with names in lower case
   */
  public record Received(int position, Map<String, String> headers) {
    /** Returns a header's value; empty if there is none. */
    public String header(String name) {
      return headers.getOrDefault(name, "");
    }
  }

  /** Returns the bytes to write once a request has been received. */
  @FunctionalInterface
  public interface Script {
    String answer(Received request) throws Exception;
  }

  /**
   * Returns a script that answers the first request by {@code first}, and all others by {@code
   * others}. Where one of those follows another request on its connection, it writes the first
   * answer again in front.
   */
  public static Script repeatingFirst(Script first, Script others) {
    Queue<String> firstAnswer = new ConcurrentLinkedQueue<>();
    return request -> {
      if (firstAnswer.isEmpty()) {
        firstAnswer.add(first.answer(request));
        return firstAnswer.element();
      }
      String copy = request.position() > 1 ? firstAnswer.element() : "";
      return copy + others.answer(request);
    };
  }

  private final ServerSocket listener = new ServerSocket(0, 16, InetAddress.getByName("127.0.0.1"));
  private final Script script;
  private volatile boolean closesAfterAnswer;

  /** Listens on a free port. */
  public ScriptedPeer(Script script) throws IOException {
    this.script = script;
    Thread.ofVirtual().start(this::accept);
  }

  /** Returns the address that it listens on. */
  public String address() {
    return IpAddresses.format((InetSocketAddress) listener.getLocalSocketAddress());
  }

  /** From now on closes each connection, in order, after its first answer. */
  public void closeAfterEachAnswer() {
    closesAfterAnswer = true;
  }

  @Override
  public void close() throws IOException {
    listener.close();
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket socket = listener.accept();
        Thread.ofVirtual().start(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      for (int position = 1; position == 1 || !closesAfterAnswer; position++) {
        Map<String, String> headers = readRequest(socket.getInputStream());
        String answer = script.answer(new Received(position, headers));
        socket.getOutputStream().write(answer.getBytes(ISO_8859_1));
      }
    } catch (Exception e) {
      // The caller closed the connection, or the test has ended.
    }
  }

  /** Reads a request and returns its headers. */
  private static Map<String, String> readRequest(InputStream in) throws IOException {
    Map<String, String> headers = new HashMap<>();
    for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
      int colon = line.indexOf(':');
      if (colon > 0) {
        headers.put(
            line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
      }
    }
    in.skipNBytes(Long.parseLong(headers.getOrDefault("content-length", "0")));
    return headers;
  }

  private static String readLine(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int next = in.read(); next != '\n'; next = in.read()) {
      if (next < 0) {
        throw new EOFException();
      }
      line.append((char) next);
    }
    return line.toString().strip();
  }
}
