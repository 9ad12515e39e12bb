package org.teaseldeal.ledger.codec;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.teaseldeal.ledger.LedgerFixtures.A;
import static org.teaseldeal.ledger.LedgerFixtures.B;
import static org.teaseldeal.ledger.LedgerFixtures.BIDS;
import static org.teaseldeal.ledger.LedgerFixtures.DRAFTS;
import static org.teaseldeal.ledger.LedgerFixtures.DRAFTS_BUDGET;
import static org.teaseldeal.ledger.LedgerFixtures.TEAM_BUDGET;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.protocol.TField;
import org.apache.thrift.protocol.TList;
import org.apache.thrift.protocol.TStruct;
import org.apache.thrift.protocol.TType;
import org.apache.thrift.transport.TMemoryBuffer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.teaseldeal.ledger.ClaimKey;
import org.teaseldeal.ledger.LedgerFixtures;
import org.teaseldeal.ledger.codec.BatchCodec.Decoded;
import org.teaseldeal.ledger.entry.Entry;
import org.teaseldeal.settings.SubtreeId;
import org.teaseldeal.wire.gen.ledger.RequestLease;

/**
 * Guards against entries that change or get lost between writer and reader, and against payloads
 * that stop the fold.
 */
class BatchCodecTests {
  static Stream<Entry> comparableEntries() {
    return Stream.of(
        LedgerFixtures.join(A),
        new Entry.Leave(),
        new Entry.PublishSettings(SubtreeId.FLEET, 7, "ann", "a = 1\n"),
        LedgerFixtures.budget(TEAM_BUDGET, 5),
        LedgerFixtures.topUp(DRAFTS_BUDGET, 6, "t"),
        LedgerFixtures.lease(BIDS, 9, 3),
        new Entry.ReturnLease(DRAFTS, B, 4),
        LedgerFixtures.charge(A, 3, DRAFTS, B, 12),
        LedgerFixtures.writeOff(A, 4, DRAFTS, B, 2),
        LedgerFixtures.claim("key", "body"),
        new Entry.ReleaseClaim(new ClaimKey("key")),
        new Entry.Retire(B, "ann"),
        new Entry.TakeOrders("pool", 3));
  }

  @ParameterizedTest
  @MethodSource("comparableEntries")
  void everyEntrySurvivesEncodingAndDecoding(Entry entry) {
    Batch batch = new Batch(A, 2, -1, List.of(entry));

    assertEquals(new Decoded.Valid(batch, 0), BatchCodec.decode(BatchCodec.encode(batch)));
  }

  @Test
  void bytesInEntriesSurviveEncodingAndDecoding() {
    Entry answer = LedgerFixtures.answer("key", "body");
    Entry chunk = new Entry.SnapshotChunk(9, 1, 2, "digest", new byte[] {1, 0, -1});
    Decoded.Valid valid = valid(BatchCodec.encode(new Batch(A, 1, 5, List.of(answer, chunk))));

    assertArrayEquals(
        "body".getBytes(StandardCharsets.UTF_8),
        ((Entry.ClaimOutcome) valid.batch().entries().get(0)).body());
    assertArrayEquals(
        new byte[] {1, 0, -1}, ((Entry.SnapshotChunk) valid.batch().entries().get(1)).bytes());
  }

  /**
   * A newer instance writes an entry of a kind that this version does not know. If the rest of the
   * batch were ignored too, the writer's sequence number would differ between old and new readers.
   */
  @Test
  void anEntryOfAnUnknownKindIsSkippedAndTheRestIsRead() throws TException {
    TMemoryBuffer buffer = new TMemoryBuffer(64);
    TCompactProtocol out = new TCompactProtocol(buffer);
    out.writeFieldBegin(new TField("writer", TType.STRING, (short) 2));
    out.writeString("a-1");
    out.writeFieldBegin(new TField("sequence", TType.I64, (short) 3));
    out.writeI64(1);
    out.writeFieldBegin(new TField("entries", TType.LIST, (short) 5));
    out.writeListBegin(new TList(TType.STRUCT, 2));
    EntryCodec.toWire(new Entry.Leave()).write(out);
    out.writeStructBegin(new TStruct("Entry"));
    out.writeFieldBegin(new TField("future", TType.I64, (short) 99));
    out.writeI64(5);
    out.writeFieldStop();
    out.writeStructEnd();
    out.writeFieldStop();

    Decoded.Valid valid = valid(Arrays.copyOf(buffer.getArray(), buffer.length()));

    assertEquals(List.of(new Entry.Leave()), valid.batch().entries());
    assertEquals(1, valid.skipped());
  }

  @Test
  void anEntryWithAFieldOutOfRangeIsSkipped() {
    var wire = new org.teaseldeal.wire.gen.ledger.Batch();
    wire.setWriter("a-1");
    wire.setSequence(1);
    wire.addToEntries(
        org.teaseldeal.wire.gen.ledger.Entry.requestLease(new RequestLease("NO SERVICE", 1, 1)));

    assertEquals(1, valid(CompactBytes.of(wire)).skipped());
  }

  /**
   * The log contains corrupt payloads: truncated, with a flipped bit, or random. An exception of
   * the decoder would stop the fold of every instance.
   */
  @Test
  void corruptPayloadsNeverThrow() {
    SplittableRandom random = new SplittableRandom(11);
    byte[] intact = BatchCodec.encode(new Batch(A, 3, 2, comparableEntries().toList()));
    for (int i = 0; i < 20_000; i++) {
      byte[] corrupt = Arrays.copyOf(intact, random.nextInt(intact.length) + 1);
      corrupt[random.nextInt(corrupt.length)] ^= (byte) (1 << random.nextInt(8));
      BatchCodec.decode(corrupt);
      random.nextBytes(corrupt);
      BatchCodec.decode(corrupt);
    }
    assertInstanceOf(Decoded.Malformed.class, BatchCodec.decode(new byte[0]));
  }

  private static Decoded.Valid valid(byte[] payload) {
    return assertInstanceOf(Decoded.Valid.class, BatchCodec.decode(payload));
  }
}
