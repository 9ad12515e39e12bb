package org.teaseldeal.gateway.peer;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.teaseldeal.gateway.log.NoteMessage;
import org.teaseldeal.gateway.log.SharedNote;
import org.teaseldeal.gateway.path.AnnouncedLimits;
import org.teaseldeal.gateway.path.LeaveAnnouncements;
import org.teaseldeal.gateway.quarantine.PromptPartQuarantine;
import org.teaseldeal.gateway.stream.StreamOrigins;
import org.teaseldeal.gateway.stream.VersionHistory;

/** Passes the datagrams of other instances to what they are for. */
public record PeerMessageDispatcher(
    LoadExchange loads,
    StreamOrigins streams,
    PromptPartQuarantine promptParts,
    AnnouncedLimits limits,
    LeaveAnnouncements leaves,
    VersionHistory versions) {
  private static final Logger LOG = LoggerFactory.getLogger(PeerMessageDispatcher.class);

  /** Processes a datagram; one that can't be decoded is dropped. */
  public void receive(byte[] datagram) {
    try {
      if (StreamOriginMessage.isEncodedIn(datagram)) {
        StreamOriginMessage message = StreamOriginMessage.decode(datagram);
        streams.onAnnounced(message.stream(), message.version());
      } else if (NoteMessage.isEncodedIn(datagram)) {
        SharedNote note = NoteMessage.decode(datagram);
        promptParts.onMessage(note);
        limits.onMessage(note);
        leaves.onMessage(note);
        versions.onMessage(note);
      } else {
        loads.receive(datagram);
      }
    } catch (IllegalArgumentException e) {
      LOG.debug("dropped a message that could not be decoded: {}", e.getMessage());
    }
  }
}
