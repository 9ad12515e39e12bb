package org.teaseldeal.ledger.client;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.teaseldeal.ledger.LedgerFixtures.DRAFTS;
import static org.teaseldeal.ledger.LedgerFixtures.TEAM_BUDGET;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.teaseldeal.api.IncarnationId;
import org.teaseldeal.ledger.LedgerFixtures;
import org.teaseldeal.ledger.entry.Entry;
import org.teaseldeal.ledger.fold.EntryOutcome;
import org.teaseldeal.ledger.outcome.Outcome;
import org.teaseldeal.ledger.snapshot.SnapshotConfig;

/**
 * Runs three clients on one log under random faults, and replaces some by new incarnations.
 *
 * <p>The log becomes unreachable, loses acknowledgements, repeats old records and expires others,
 * and clients pause. Afterwards the clients must have the same exported state, and the outcomes
 * that each client received must add up to that state.
 */
class LedgerClientModelTests {
  private static final int SEEDS = 60;
  private static final int TICKS = 600;
  private static final LedgerConfig CONFIG =
      LedgerConfig.DEFAULT.withSnapshots(
          new SnapshotConfig(300, Duration.ofMinutes(2), 60, Duration.ofSeconds(1)));

  @Test
  void allClientsAgreeAndEveryTicketHasOneOutcomeOrIsLost() {
    int bridgedGaps = 0;
    for (int seed = 0; seed < SEEDS; seed++) {
      bridgedGaps += new Run(seed).check();
    }
    assertTrue(bridgedGaps > SEEDS / 2, "gaps bridged by a snapshot were only " + bridgedGaps);
  }

  private static final class Run {
    private final SplittableRandom random;
    private final String name;
    private final ManualClock clock = new ManualClock();
    private final FakeLog log = new FakeLog(clock);
    private final List<Member> members = new ArrayList<>();
    private int started;

    Run(long seed) {
      random = new SplittableRandom(seed);
      name = "seed " + seed;
      for (int i = 0; i < 3; i++) {
        members.add(start());
      }
      members.getFirst().submit(LedgerFixtures.budget(TEAM_BUDGET, 5_000));
    }

    private Member start() {
      IncarnationId id = new IncarnationId("i-" + ++started);
      Member member = new Member(id, new TestClient(id, CONFIG, log, clock));
      member.submit(LedgerFixtures.join(id));
      return member;
    }

    /**
     * Runs the simulation, checks the result, and returns how often clients had to bridge expired
     * records.
     */
    int check() {
      for (int tick = 0; tick < TICKS; tick++) {
        clock.advance(Duration.ofMillis(random.nextInt(100)));
        injectFault();
        Member member = members.get(random.nextInt(members.size()));
        if (random.nextInt(3) > 0) {
          member.submit(member.randomEntry(random));
        }
        member.client.tick();
      }
      recover();
      byte[] state = members.getFirst().client.ledger.exportState();
      for (Member member : members) {
        assertArrayEquals(state, member.client.ledger.exportState(), name);
        member.check(name);
      }
      return members.stream().mapToInt(m -> (int) m.client.ledger.counters().gaps()).sum();
    }

    private void injectFault() {
      switch (random.nextInt(60)) {
        case 0 -> log.unreachable = !log.unreachable;
        case 1 -> log.losesAcknowledgements = !log.losesAcknowledgements;
        case 2 -> repeatOldRecord();
        case 3 -> log.expireBefore(1 + latestCovered());
        case 4 -> members.set(random.nextInt(members.size()), start());
        default -> {}
      }
    }

    private void repeatOldRecord() {
      if (log.nextOffset() > 0) {
        log.append(log.records.get(random.nextInt((int) log.nextOffset())).payload());
      }
    }

    private long latestCovered() {
      return members.stream()
          .mapToLong(m -> m.client.ledger.state().snapshot().coveredOffset())
          .max()
          .orElse(-1);
    }

    private void recover() {
      log.unreachable = false;
      log.losesAcknowledgements = false;
      for (int tick = 0; tick < 2_000 && !allIdleAndCaughtUp(); tick++) {
        clock.advance(Duration.ofMillis(20));
        members.forEach(member -> member.client.tick());
      }
      assertTrue(allIdleAndCaughtUp(), name);
    }

    private boolean allIdleAndCaughtUp() {
      return members.stream()
          .map(member -> member.client.ledger)
          .allMatch(client -> client.idle() && client.foldedTo() + 1 == log.nextOffset());
    }
  }

  private static final class Member {
    private final IncarnationId id;
    private final TestClient client;
    private final Set<Ticket> tickets = new HashSet<>();
    private long number;

    Member(IncarnationId id, TestClient client) {
      this.id = id;
      this.client = client;
    }

    void submit(Entry entry) {
      tickets.add(client.ledger.submit(entry));
    }

    Entry randomEntry(SplittableRandom random) {
      long tokens = 1 + random.nextInt(20);
      return switch (random.nextInt(5)) {
        case 0 -> LedgerFixtures.charge(id, ++number, DRAFTS, id, tokens);
        case 1 -> new Entry.ReturnLease(DRAFTS, id, tokens);
        default -> LedgerFixtures.lease(DRAFTS, tokens, 1);
      };
    }

    void check(String name) {
      Set<Ticket> lost = new HashSet<>(client.ledger.drainLostTickets());
      Set<Ticket> answered = new HashSet<>();
      for (EntryOutcome outcome : client.ownOutcomes) {
        assertTrue(answered.add(client.ledger.ticket(outcome).orElseThrow()), name);
      }
      Set<Ticket> known = new HashSet<>(answered);
      known.addAll(lost);
      assertTrue(known.containsAll(tickets), name + ": a ticket of " + id + " has no outcome");
      assertEquals(Optional.empty(), client.ledger.state().findImbalance(), name);
      if (lost.isEmpty()) {
        assertEquals(leaseChangeSum(), client.ledger.state().leased(DRAFTS, id), name);
      }
    }

    private long leaseChangeSum() {
      return client.ownOutcomes.stream().mapToLong(entry -> leaseChange(entry.outcome())).sum();
    }

    private static long leaseChange(Outcome outcome) {
      return switch (outcome) {
        case Outcome.LeaseGranted granted -> granted.tokens();
        case Outcome.LeaseReturned returned -> -returned.tokens();
        case Outcome.Charged charged -> -charged.tokens();
        default -> 0;
      };
    }
  }
}
