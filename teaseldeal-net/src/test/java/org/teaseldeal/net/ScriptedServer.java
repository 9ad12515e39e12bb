package org.teaseldeal.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.EOFException;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** A server that handles one connection at a time: runs a script on it and then closes it. */
final class ScriptedServer implements AutoCloseable {
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

  /** Reads the head of a request. */
  static void readRequest(Socket socket) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int next = socket.getInputStream().read();
      if (next < 0) {
        throw new IOException("ended");
      }
      head.append((char) next);
    }
  }

  /** Reads a request without a body and returns its number. */
  static int requestNumber(Socket socket) throws Exception {
    String line = "";
    int number = 0;
    for (StringBuilder next = new StringBuilder(); ; ) {
      int read = socket.getInputStream().read();
      if (read < 0) {
        throw new EOFException();
      }
      if (read != '\n') {
        next.append((char) read);
        continue;
      }
      line = next.toString().strip();
      next.setLength(0);
      if (line.isEmpty()) {
        return number;
      }
      if (line.toLowerCase(Locale.ROOT).startsWith("request:")) {
        number = Integer.parseInt(line.substring(line.indexOf(':') + 1).strip());
      }
    }
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
