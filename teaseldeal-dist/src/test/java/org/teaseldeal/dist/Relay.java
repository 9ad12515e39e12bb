package org.teaseldeal.dist;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A TCP relay that forwards connections to another address. After {@link #discardTraffic} it keeps
 * the existing connections open and discards all data on them, while it still forwards new
 * connections.
 */
final class Relay implements AutoCloseable {
  private final ServerSocket server;
  private final String target;
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();
  private volatile List<Socket> discarding = List.of();

  Relay(String target) throws IOException {
    this.target = target;
    server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    Thread.ofVirtual().start(this::accept);
  }

  String address() {
    return "127.0.0.1:" + server.getLocalPort();
  }

  /** Discards all further data on the connections that exist now, without closing them. */
  void discardTraffic() {
    discarding = List.copyOf(sockets);
  }

  @Override
  public void close() throws IOException {
    server.close();
    for (Socket socket : sockets) {
      socket.close();
    }
  }

  private void accept() {
    try {
      while (true) {
        Socket caller = server.accept();
        int colon = target.lastIndexOf(':');
        Socket engine =
            new Socket(target.substring(0, colon), Integer.parseInt(target.substring(colon + 1)));
        sockets.addAll(List.of(caller, engine));
        Thread.ofVirtual().start(() -> forward(caller, engine));
        Thread.ofVirtual().start(() -> forward(engine, caller));
      }
    } catch (IOException e) {
      // The server socket was closed because the test has ended.
    }
  }

  private void forward(Socket from, Socket to) {
    byte[] buffer = new byte[8192];
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
        if (!discarding.contains(from)) {
          out.write(buffer, 0, n);
        }
      }
      if (!discarding.contains(from)) {
        to.close();
      }
    } catch (IOException e) {
      closeBoth(from, to);
    }
  }

  private void closeBoth(Socket from, Socket to) {
    if (discarding.contains(from)) {
      return;
    }
    try {
      from.close();
      to.close();
    } catch (IOException e) {
      // Both sockets are unusable, so a failure to close them has no effect.
    }
  }
}
