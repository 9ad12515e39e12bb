package org.teaseldeal.core.system;

import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.List;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.teaseldeal.api.IncarnationId;
import org.teaseldeal.core.Counter;
import org.teaseldeal.core.table.PeerRow;
import org.teaseldeal.ledger.client.LedgerClient;
import org.teaseldeal.ledger.snapshot.SnapshotChunks;
import org.teaseldeal.wire.gen.peer.Message;
import org.teaseldeal.wire.gen.peer.StateChunk;
import org.teaseldeal.wire.gen.peer.StateRequest;

/**
 * Starts an instance from a peer's state while the log can't be read, and serves such requests of
 * peers.
 *
 * <p>A state is accepted only if it is complete and matches its digest, and never if it is behind
 * the offset already reached here. Otherwise settings that were in force would revert to older
 * ones.
 */
final class BootstrapSystem {
  private static final int CHUNK_BYTES = 256 * 1024;
  private static final int MAX_CHUNKS = 4096;
  private static final Duration STATE_REQUEST_INTERVAL = Duration.ofSeconds(2);

  /** The chunks received so far of one peer's state of one stream. */
  private record PartialState(
      long foldedTo, int count, String digest, TreeMap<Integer, byte[]> chunks) {}

  private final Context context;
  private final LedgerSystem ledger;
  private final TreeMap<Integer, PartialState> partialStates = new TreeMap<>();
  private final Instant startedAt;
  private @Nullable Instant requestedAt;
  private int peerTurn;

  BootstrapSystem(Context context, LedgerSystem ledger) {
    this.context = context;
    this.ledger = ledger;
    this.startedAt = context.now();
  }

  void run() {
    if (ledger.ready() || ledger.retired()) {
      return;
    }
    Instant last = requestedAt == null ? startedAt : requestedAt;
    if (context.now().isBefore(last.plus(STATE_REQUEST_INTERVAL))) {
      return;
    }
    requestedAt = context.now();
    for (int stream = 0; stream < ledger.streamCount(); stream++) {
      LedgerClient client = ledger.client(stream);
      if (!client.caughtUp() && !client.logReachable()) {
        requestState(stream);
      }
    }
  }

  private void requestState(int stream) {
    List<PeerRow> ready =
        context.tables.peers.values().stream()
            .filter(peer -> peer.ready && !peer.address.isEmpty())
            .toList();
    if (ready.isEmpty()) {
      return;
    }
    PeerRow peer = ready.get(peerTurn++ % ready.size());
    partialStates.remove(stream);
    context.send(peer.address, Message.stateRequest(new StateRequest(stream)));
  }

  void onRequest(IncarnationId sender, StateRequest request) {
    PeerRow peer = context.tables.peers.get(sender);
    int stream = request.getStream();
    if (peer == null || stream < 0 || stream >= ledger.streamCount() || !ledger.ready()) {
      return;
    }
    LedgerClient client = ledger.client(stream);
    byte[] state = client.exportState();
    String digest = SnapshotChunks.digest(state);
    int count = Math.ceilDiv(state.length, CHUNK_BYTES);
    for (int index = 0; index < count; index++) {
      int from = index * CHUNK_BYTES;
      byte[] part = Arrays.copyOfRange(state, from, Math.min(from + CHUNK_BYTES, state.length));
      StateChunk chunk = new StateChunk();
      chunk.setStream(stream);
      chunk.setFoldedTo(client.foldedTo());
      chunk.setIndex(index);
      chunk.setCount(count);
      chunk.setDigest(digest);
      chunk.setBytes(part);
      context.count(Counter.STATE_CHUNKS_SENT);
      context.send(peer.address, Message.stateChunk(chunk));
    }
  }

  void onChunk(StateChunk chunk) {
    int stream = chunk.getStream();
    if (stream < 0 || stream >= ledger.streamCount() || !isValid(chunk)) {
      return;
    }
    LedgerClient client = ledger.client(stream);
    if (client.caughtUp() || chunk.getFoldedTo() < client.foldedTo()) {
      return;
    }
    PartialState partial = partialStates.get(stream);
    if (partial == null || !partial.digest.equals(chunk.getDigest())) {
      partial =
          new PartialState(
              chunk.getFoldedTo(), chunk.getCount(), chunk.getDigest(), new TreeMap<>());
      partialStates.put(stream, partial);
    }
    partial.chunks.put(chunk.getIndex(), chunk.getBytes());
    if (partial.chunks.size() == partial.count) {
      partialStates.remove(stream);
      restore(client, partial);
    }
  }

  private static boolean isValid(StateChunk chunk) {
    return chunk.getDigest() != null
        && chunk.getBytes() != null
        && chunk.getCount() > 0
        && chunk.getCount() <= MAX_CHUNKS
        && chunk.getIndex() >= 0
        && chunk.getIndex() < chunk.getCount();
  }

  private void restore(LedgerClient client, PartialState partial) {
    ByteArrayOutputStream state = new ByteArrayOutputStream();
    partial.chunks.values().forEach(state::writeBytes);
    byte[] bytes = state.toByteArray();
    if (!SnapshotChunks.digest(bytes).equals(partial.digest)) {
      return;
    }
    try {
      client.restore(bytes);
      context.count(Counter.STATES_RESTORED);
    } catch (IllegalArgumentException e) {
      // The state belongs to another stream, or this instance has meanwhile read beyond it. The
      // next peer is asked.
      context.count(Counter.UNKNOWN_PEER_MESSAGES);
    }
  }
}
