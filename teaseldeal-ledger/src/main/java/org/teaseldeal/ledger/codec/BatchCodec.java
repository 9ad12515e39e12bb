package org.teaseldeal.ledger.codec;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.transport.TMemoryInputTransport;
import org.teaseldeal.api.IncarnationId;
import org.teaseldeal.ledger.entry.Entry;

/** Encodes batches as the payload of log records and decodes them. */
public final class BatchCodec {
  private static final int VERSION = 1;

  /** The result of decoding the payload of a log record. */
  public sealed interface Decoded {
    /**
     * A valid batch. {@code skipped} entries were left out because their kind is unknown or a field
     * is missing or out of range.
     */
    record Valid(Batch batch, int skipped) implements Decoded {}

    /** A payload that is not a batch. */
    record Malformed(String reason) implements Decoded {}
  }

  private BatchCodec() {}

  /** Encodes {@code batch}. */
  public static byte[] encode(Batch batch) {
    List<org.teaseldeal.wire.gen.ledger.Entry> entries =
        batch.entries().stream().map(EntryCodec::toWire).toList();
    var wire =
        new org.teaseldeal.wire.gen.ledger.Batch(
            VERSION, batch.writer().value(), batch.sequence(), batch.foldedTo(), entries);
    return CompactBytes.of(wire);
  }

  /** Decodes {@code payload}. It never throws. */
  public static Decoded decode(byte[] payload) {
    try {
      var wire = new org.teaseldeal.wire.gen.ledger.Batch();
      wire.read(new TCompactProtocol(new TMemoryInputTransport(payload)));
      return fromWire(wire);
    } catch (TException | RuntimeException e) {
      // Any process can append arbitrary bytes to the log. If the decoder threw on them, all
      // instances would stop at the same offset. Instead every reader skips the same record.
      return new Decoded.Malformed(String.valueOf(e.getMessage()));
    }
  }

  private static Decoded fromWire(org.teaseldeal.wire.gen.ledger.Batch wire) {
    if (wire.getWriter() == null || wire.getEntries() == null) {
      return new Decoded.Malformed("batch had no writer or no entries");
    }
    List<Entry> entries = new ArrayList<>(wire.getEntries().size());
    for (org.teaseldeal.wire.gen.ledger.Entry entry : wire.getEntries()) {
      decodeEntry(entry).ifPresent(entries::add);
    }
    Batch batch =
        new Batch(
            new IncarnationId(wire.getWriter()), wire.getSequence(), wire.getFoldedTo(), entries);
    return new Decoded.Valid(batch, wire.getEntries().size() - entries.size());
  }

  private static Optional<Entry> decodeEntry(org.teaseldeal.wire.gen.ledger.Entry wire) {
    try {
      return EntryCodec.fromWire(wire);
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }
}
