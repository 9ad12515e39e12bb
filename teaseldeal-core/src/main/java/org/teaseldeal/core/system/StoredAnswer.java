package org.teaseldeal.core.system;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.teaseldeal.api.Usage;
import org.teaseldeal.core.table.RequestRow;
import org.teaseldeal.ledger.ClaimKey;
import org.teaseldeal.ledger.entry.Entry;

/**
 * The encoding in which the answer of a claimed request is stored on the log.
 *
 * <p>A model's answer is encoded as its usage, the number of its frames, and each frame preceded by
 * its length. All numbers are big-endian.
 */
final class StoredAnswer {
  static final String FRAMES_CONTENT_TYPE = "application/vnd.teaseldeal.frames";
  static final String UNKNOWN_CONTENT_TYPE = "application/vnd.teaseldeal.outcome-unknown";
  private static final int HEADER_BYTES = 2 * Long.BYTES + Integer.BYTES;

  /** A decoded answer of a model. */
  record Frames(Usage usage, List<byte[]> frames) {}

  private StoredAnswer() {}

  static Entry.ClaimOutcome unknown(ClaimKey key, String detail) {
    return new Entry.ClaimOutcome(key, 0, UNKNOWN_CONTENT_TYPE, detail.getBytes(UTF_8), true);
  }

  static Entry.ClaimOutcome plain(
      ClaimKey key, int status, String contentType, byte[] body, int maxBody) {
    boolean stored = body.length <= maxBody;
    return new Entry.ClaimOutcome(key, status, contentType, stored ? body : new byte[0], stored);
  }

  static Entry.ClaimOutcome frames(ClaimKey key, RequestRow request, Usage usage, int maxBody) {
    boolean stored = request.frameBytes <= maxBody;
    byte[] body = stored ? encode(usage, request.frames) : new byte[0];
    return new Entry.ClaimOutcome(key, 200, FRAMES_CONTENT_TYPE, body, stored);
  }

  private static byte[] encode(Usage usage, List<byte[]> frames) {
    int size = frames.stream().mapToInt(frame -> Integer.BYTES + frame.length).sum();
    ByteBuffer body = ByteBuffer.allocate(HEADER_BYTES + size);
    body.putLong(usage.inputTokens()).putLong(usage.outputTokens()).putInt(frames.size());
    frames.forEach(frame -> body.putInt(frame.length).put(frame));
    return body.array();
  }

  /** Decodes a model's answer, or returns empty if {@code body} is not one. */
  static Optional<Frames> decode(byte[] body) {
    try {
      ByteBuffer buffer = ByteBuffer.wrap(body);
      Usage usage = new Usage(buffer.getLong(), buffer.getLong());
      int count = buffer.getInt();
      List<byte[]> frames = new ArrayList<>();
      for (int i = 0; i < count; i++) {
        frames.add(frame(buffer));
      }
      return Optional.of(new Frames(usage, frames));
    } catch (BufferUnderflowException | IllegalArgumentException e) {
      // The body was stored by a plain service of the same name before the settings changed, or by
      // another writer.
      return Optional.empty();
    }
  }

  private static byte[] frame(ByteBuffer buffer) {
    int length = buffer.getInt();
    if (length < 0 || length > buffer.remaining()) {
      throw new IllegalArgumentException("frame length out of range: " + length);
    }
    byte[] frame = new byte[length];
    buffer.get(frame);
    return frame;
  }
}
