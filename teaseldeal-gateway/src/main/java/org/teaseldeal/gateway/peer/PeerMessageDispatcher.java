package org.teaseldeal.gateway.peer;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.teaseldeal.gateway.stream.StreamOrigins;

/** Passes the datagrams of other instances to what they are for. */
public record PeerMessageDispatcher(LoadExchange loads, StreamOrigins streams) {
  private static final Logger LOG = LoggerFactory.getLogger(PeerMessageDispatcher.class);

  /** Processes a datagram; one that can't be decoded is dropped. */
  public void receive(byte[] datagram) {
    if (!StreamOriginMessage.isEncodedIn(datagram)) {
      loads.receive(datagram);
      return;
    }
    try {
      StreamOriginMessage message = StreamOriginMessage.decode(datagram);
      streams.onAnnounced(message.stream(), message.version());
    } catch (IllegalArgumentException e) {
      LOG.debug("dropped a stream's version that could not be decoded: {}", e.getMessage());
    }
  }
}
