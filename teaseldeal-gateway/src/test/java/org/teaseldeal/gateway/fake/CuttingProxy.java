package org.teaseldeal.gateway.fake;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import org.teaseldeal.net.IpAddresses;

/**
 * Forwards connections to a target and ends each one after a number of bytes of the target's
 * answers.
 */
public final class CuttingProxy implements AutoCloseable {
  /** Where a connection ends, and whether by a reset or by an orderly close. */
  public record Cut(long bytes, boolean reset) {
    /** Lets all answers through. */
    public static final Cut NONE = new Cut(Long.MAX_VALUE, false);
  }

  private static final int BUFFER_BYTES = 4096;

  private final ServerSocket listener = new ServerSocket(0, 16, InetAddress.getByName("127.0.0.1"));
  private final InetSocketAddress target;
  private volatile Cut cut = Cut.NONE;

  /** The number of bytes of answers on the newest connection. */
  private volatile long answerBytes;

  /** Listens on a free port and forwards to {@code target}. */
  public CuttingProxy(InetSocketAddress target) throws IOException {
    this.target = target;
    Thread.ofVirtual().start(this::accept);
  }

  /** Returns the address that it listens on. */
  public String address() {
    return IpAddresses.format((InetSocketAddress) listener.getLocalSocketAddress());
  }

  /** Sets where connections that are opened from now on end. */
  public void setCut(Cut newCut) {
    cut = newCut;
  }

  /** Returns the number of bytes of answers on the newest connection. */
  public long answerBytes() {
    return answerBytes;
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket caller = listener.accept();
        Cut itsCut = cut;
        answerBytes = 0;
        Thread.ofVirtual().start(() -> forward(caller, itsCut));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void forward(Socket caller, Cut itsCut) {
    try (caller;
        Socket server = new Socket(target.getAddress(), target.getPort())) {
      Thread.ofVirtual().start(() -> forwardRequests(caller, server));
      forwardAnswers(server, caller, itsCut);
    } catch (IOException e) {
      // One of the ends closed its connection.
    }
  }

  private static void forwardRequests(Socket caller, Socket server) {
    try (server) {
      caller.getInputStream().transferTo(server.getOutputStream());
    } catch (IOException e) {
      // One of the ends closed its connection.
    }
  }

  private void forwardAnswers(Socket server, Socket caller, Cut itsCut) throws IOException {
    InputStream in = server.getInputStream();
    OutputStream out = caller.getOutputStream();
    byte[] buffer = new byte[BUFFER_BYTES];
    long forwarded = 0;
    for (int read = in.read(buffer); read > 0; read = in.read(buffer)) {
      int allowed = (int) Math.min(read, itsCut.bytes() - forwarded);
      forwarded += allowed;
      answerBytes = forwarded;
      out.write(buffer, 0, allowed);
      if (forwarded == itsCut.bytes()) {
        caller.setSoLinger(itsCut.reset(), 0);
        return;
      }
    }
  }

  @Override
  public void close() throws IOException {
    listener.close();
  }
}
