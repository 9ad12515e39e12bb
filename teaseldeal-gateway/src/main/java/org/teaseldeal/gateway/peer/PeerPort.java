package org.teaseldeal.gateway.peer;

/** Sends messages to other instances; each may be lost, doubled or late. */
@FunctionalInterface
public interface PeerPort {
  /** Sends a message to {@code address}, {@code host:port} by IP number. */
  void send(String address, byte[] message);
}
