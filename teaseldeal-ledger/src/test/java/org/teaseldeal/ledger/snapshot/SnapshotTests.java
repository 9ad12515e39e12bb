package org.teaseldeal.ledger.snapshot;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.teaseldeal.api.IncarnationId;
import org.teaseldeal.ledger.LedgerFixtures;
import org.teaseldeal.ledger.LogRecord;
import org.teaseldeal.ledger.StreamId;
import org.teaseldeal.ledger.codec.Batch;
import org.teaseldeal.ledger.codec.BatchCodec;
import org.teaseldeal.ledger.entry.Entry;
import org.teaseldeal.ledger.fold.KeyRetention;
import org.teaseldeal.ledger.fold.LedgerFold;
import org.teaseldeal.ledger.state.LedgerState;

/**
 * Guards against using an incomplete or corrupt snapshot, and against a due snapshot that no
 * instance writes.
 */
class SnapshotTests {
  @Nested
  class Assembly {
    private final byte[] state = new byte[1_000];
    private final SnapshotAssembler assembler = new SnapshotAssembler();

    Assembly() {
      new Random(3).nextBytes(state);
    }

    @Test
    void acceptsRepeatedChunksInAnyOrder() {
      List<Entry.SnapshotChunk> chunks = new ArrayList<>(SnapshotChunks.of(9, state, 64));
      chunks.addAll(List.copyOf(chunks));
      Collections.shuffle(chunks, new Random(4));
      chunks.forEach(assembler::add);

      assertArrayEquals(state, assembler.latest().orElseThrow().state());
    }

    @Test
    void isIncompleteWithAMissingChunk() {
      SnapshotChunks.of(9, state, 64).stream().skip(1).forEach(assembler::add);

      assertEquals(Optional.empty(), assembler.latest());
    }

    @Test
    void keepsTheLatestAndIgnoresOlderOnes() {
      SnapshotChunks.of(9, state, 64).forEach(assembler::add);
      SnapshotChunks.of(4, state, 64).forEach(assembler::add);

      assertEquals(9, assembler.latest().orElseThrow().coveredOffset());
    }

    /**
     * A chunk's bytes differ from those that were written. The assembled snapshot then has another
     * digest. It must be dropped and counted, and the older intact snapshot must stay the latest.
     */
    @Test
    void dropsASnapshotWithAWrongDigest() {
      SnapshotChunks.of(4, state, 64).forEach(assembler::add);
      for (Entry.SnapshotChunk chunk : SnapshotChunks.of(9, state, 64)) {
        assembler.add(
            new Entry.SnapshotChunk(
                9, chunk.index(), chunk.count(), chunk.digest(), new byte[chunk.bytes().length]));
      }

      assertEquals(4, assembler.latest().orElseThrow().coveredOffset());
      assertEquals(1, assembler.corrupt());
    }
  }

  @Nested
  class Schedule {
    private static final Duration TAKEOVER_DELAY = Duration.ofSeconds(10);
    private final SnapshotConfig config =
        new SnapshotConfig(64, Duration.ofHours(4), 50, TAKEOVER_DELAY);
    private final List<IncarnationId> instances =
        List.of("a-1", "b-1", "c-1").stream().map(IncarnationId::new).toList();
    private final LedgerFold fold =
        new LedgerFold(new StreamId(0), KeyRetention.DEFAULT, (subtree, toml) -> List.of());
    private Instant now = Instant.parse("2026-12-02T08:00:00Z");
    private long offset;

    private void fold(IncarnationId writer, long sequence, Entry entry) {
      byte[] payload = BatchCodec.encode(new Batch(writer, sequence, -1, List.of(entry)));
      fold.fold(new LogRecord(offset++, now, payload));
    }

    private LedgerState joined() {
      instances.forEach(id -> fold(id, 1, LedgerFixtures.join(id)));
      return fold.state();
    }

    private List<IncarnationId> dueInstances(List<SnapshotSchedule> schedules, LedgerState state) {
      List<IncarnationId> due = new ArrayList<>();
      for (int i = 0; i < schedules.size(); i++) {
        if (schedules.get(i).isDue(state, now)) {
          due.add(instances.get(i));
        }
      }
      return due;
    }

    private List<SnapshotSchedule> schedules() {
      return instances.stream().map(id -> new SnapshotSchedule(id, config)).toList();
    }

    /**
     * A snapshot is due, but the instance that is first in rank has crashed. The others must take
     * over one after the other, a takeover delay apart, before the oldest records expire.
     */
    @Test
    void passesToTheNextInRankAfterEachTakeoverDelay() {
      LedgerState state = joined();
      List<SnapshotSchedule> schedules = schedules();
      assertEquals(List.of(), dueInstances(schedules, state));
      now = now.plus(config.maxAge());

      assertEquals(1, dueInstances(schedules, state).size());
      now = now.plus(TAKEOVER_DELAY);
      assertEquals(2, dueInstances(schedules, state).size());
      now = now.plus(TAKEOVER_DELAY);
      assertEquals(3, dueInstances(schedules, state).size());
    }

    @Test
    void isDueAfterANumberOfRecords() {
      LedgerState state = joined();
      List<SnapshotSchedule> schedules = schedules();
      for (int sequence = 2; sequence <= 49; sequence++) {
        fold(instances.getFirst(), sequence, LedgerFixtures.lease(LedgerFixtures.DRAFTS, 1, 1));
      }
      assertEquals(1, dueInstances(schedules, state).size());
    }

    @Test
    void endsWithACompleteSnapshotAndRotatesAmongInstances() {
      LedgerState state = joined();
      Set<IncarnationId> firstInRank = new HashSet<>();
      for (int epoch = 0; epoch < 20; epoch++) {
        now = now.plus(config.maxAge());
        List<SnapshotSchedule> schedules = schedules();
        dueInstances(schedules, state);
        now = now.plus(config.maxAge());
        fold(
            LedgerFixtures.OPERATOR,
            2 * epoch + 1,
            LedgerFixtures.topUp(LedgerFixtures.TEAM_BUDGET, 1, "t"));
        List<IncarnationId> ranked =
            instances.stream()
                .filter(
                    id ->
                        SnapshotSchedule.rank(id, state.instances(), state.snapshot().epoch()) == 0)
                .toList();
        firstInRank.addAll(ranked);
        Entry chunk = SnapshotChunks.of(offset - 1, fold.export(), 1_000_000).getFirst();
        fold(LedgerFixtures.OPERATOR, 2 * epoch + 2, chunk);
        assertEquals(List.of(), dueInstances(schedules, state));
      }
      assertEquals(Set.copyOf(instances), firstInRank);
      assertEquals(20, state.snapshot().epoch());
    }

    @Test
    void isNeverDueForAnInstanceThatHasNotJoined() {
      joined();
      SnapshotSchedule notJoined = new SnapshotSchedule(new IncarnationId("x-1"), config);
      notJoined.isDue(fold.state(), now);
      now = now.plus(Duration.ofDays(1));

      assertFalse(notJoined.isDue(fold.state(), now));
      assertTrue(fold.state().instances().size() == 3);
    }
  }
}
