package org.teaseldeal.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A server that handles one connection at a time: runs a script on it and then closes it. */
final class ScriptedServer implements AutoCloseable {
  private static final Pattern REQUEST_NUMBER =
      Pattern.compile("\r\nrequest: *(\\d+)\r\n", Pattern.CASE_INSENSITIVE);

  /** The script that runs on each connection. */
  interface Script {
    void run(Socket socket) throws Exception;
  }

  private final ServerSocket listener = new ServerSocket(0, 16, InetAddress.getByName("127.0.0.1"));
  private final LinkedBlockingQueue<Integer> closed = new LinkedBlockingQueue<>();

  ScriptedServer(Script script) throws IOException {
    Thread.ofVirtual().start(() -> accept(script));
  }

  InetSocketAddress address() {
    return (InetSocketAddress) listener.getLocalSocketAddress();
  }

  void awaitClosed(int count) throws InterruptedException {
    assertEquals(count, closed.poll(20, TimeUnit.SECONDS));
  }

  private void accept(Script script) {
    int count = 0;
    while (!listener.isClosed()) {
      try (Socket socket = listener.accept()) {
        Thread scriptThread =
            Thread.ofVirtual()
                .start(
                    () -> {
                      try (socket) {
                        script.run(socket);
                      } catch (Exception e) {
                        // The client closed the connection, or the test has ended.
                      }
                    });
        scriptThread.join();
        closed.add(++count);
      } catch (IOException | InterruptedException e) {
        return;
      }
    }
  }

  @Override
  public void close() throws IOException {
    listener.close();
  }

  /** Reads the head of a request and returns it. */
  static String readRequest(Socket socket) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int next = socket.getInputStream().read();
      if (next < 0) {
        throw new IOException("ended");
      }
      head.append((char) next);
    }
    return head.toString();
  }

  /** Reads a request without a body and returns its number. */
  static int requestNumber(Socket socket) throws IOException {
    Matcher number = REQUEST_NUMBER.matcher(readRequest(socket));
    return number.find() ? Integer.parseInt(number.group(1)) : 0;
  }

  /** Waits until the client has closed the connection. */
  static void awaitClose(Socket socket) throws IOException {
    try {
      socket.getInputStream().transferTo(OutputStream.nullOutputStream());
    } catch (SocketException e) {
      // The client has reset the connection, as it hadn't read all.
    }
  }

  static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }
}
