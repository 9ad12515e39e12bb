package org.teaseldeal.gateway.peer;

/** Sends messages to other instances. A message may be lost, duplicated or delayed. */
@FunctionalInterface
public interface PeerTransport {
  /**
   * Sends a message.
   *
   * @param address the receiver as {@code host:port}, with an IP address as the host
   */
  void send(String address, byte[] message);
}
