package org.teaseldeal.core.system;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.teaseldeal.api.IncarnationId;
import org.teaseldeal.api.ServiceId;
import org.teaseldeal.core.table.PeerRow;

/**
 * A view of which peers seem to be alive. It is only a hint, on which no safety guarantee depends.
 */
final class PeerView {
  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  private final Context context;

  PeerView(Context context) {
    this.context = context;
  }

  /**
   * Returns the peers that sent a heartbeat recently and accept work, in the order of their
   * incarnations.
   */
  List<PeerRow> live() {
    return context.tables.peers.values().stream()
        .filter(peer -> !peer.draining && peer.ready && !isSilent(peer))
        .toList();
  }

  /**
   * Returns whether {@code incarnation} seems to be active: it sent a heartbeat recently and isn't
   * draining.
   */
  boolean isActive(IncarnationId incarnation) {
    PeerRow peer = context.tables.peers.get(incarnation);
    return context.justResumed() || (peer != null && !peer.draining && !isSilent(peer));
  }

  boolean isSilent(IncarnationId incarnation) {
    PeerRow peer = context.tables.peers.get(incarnation);
    return !context.justResumed() && (peer == null || isSilent(peer));
  }

  private boolean isSilent(PeerRow peer) {
    Instant silentBefore = context.now().minus(context.limits().peerSilenceTimeout());
    return peer.lastHeartbeatAt.isBefore(silentBefore);
  }

  /**
   * Returns a peer to store this instance's charges, in another data centre if there is one.
   *
   * @param turn a number that the caller increments, so that an unresponsive peer is followed by
   *     another one
   */
  Optional<PeerRow> backupPeer(int turn) {
    List<PeerRow> live = live();
    List<PeerRow> elsewhere =
        live.stream()
            .filter(peer -> !peer.dataCentre.equals(context.config.dataCentre().name()))
            .toList();
    List<PeerRow> candidates = elsewhere.isEmpty() ? live : elsewhere;
    return candidates.isEmpty()
        ? Optional.empty()
        : Optional.of(candidates.get(Math.floorMod(turn, candidates.size())));
  }

  /** Returns the live peers in descending order of their rendezvous weight for {@code service}. */
  List<PeerRow> byRendezvousWeight(ServiceId service) {
    Comparator<PeerRow> rank =
        Comparator.comparingLong(p -> rendezvousWeight(service, p.incarnation));
    return live().stream().sorted(rank.reversed()).toList();
  }

  /** Returns the peer that is the home of {@code service}, or empty if this instance is. */
  Optional<PeerRow> homePeer(ServiceId service) {
    long own = rendezvousWeight(service, context.self());
    return byRendezvousWeight(service).stream()
        .findFirst()
        .filter(peer -> rendezvousWeight(service, peer.incarnation) > own);
  }

  /** Returns the rendezvous-hashing weight of an incarnation for a service. */
  private static long rendezvousWeight(ServiceId service, IncarnationId incarnation) {
    return rendezvousWeight(service.toString(), incarnation);
  }

  /**
   * Returns the rendezvous-hashing weight of an incarnation for a subject, such as a service or a
   * pool.
   */
  static long rendezvousWeight(String subject, IncarnationId incarnation) {
    long hash = FNV_OFFSET;
    for (byte utf8Byte : (subject + "|" + incarnation).getBytes(StandardCharsets.UTF_8)) {
      hash = (hash ^ (utf8Byte & 0xff)) * FNV_PRIME;
    }
    // The high bits of an FNV hash hardly depend on the last bytes. The multiplications and the
    // shift spread those bytes over all bits.
    long mixed = ByteBuffer.allocate(Long.BYTES).putLong(hash).getLong(0) * 0x9e3779b97f4a7c15L;
    return (mixed ^ (mixed >>> 32)) * 0xd6e8feb86659fd93L;
  }
}
