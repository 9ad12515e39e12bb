package org.teaseldeal.ledger.fold;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.teaseldeal.api.IncarnationId;
import org.teaseldeal.api.RequestId;
import org.teaseldeal.api.ServiceId;
import org.teaseldeal.ledger.AccountId;
import org.teaseldeal.ledger.ClaimKey;
import org.teaseldeal.ledger.Draw;
import org.teaseldeal.ledger.LedgerFixtures;
import org.teaseldeal.ledger.LogRecord;
import org.teaseldeal.ledger.entry.Entry;
import org.teaseldeal.ledger.outcome.Outcome;
import org.teaseldeal.ledger.state.AccountView;
import org.teaseldeal.settings.SubtreeId;

/**
 * Folds random entries and compares every budget with a model that only adds up outcomes,
 * independently of the fold's tables. Guards against tokens that are lost or counted twice, and
 * against state that differs after a restore.
 */
class LedgerFoldModelTests {
  private static final int SEEDS = 150;
  private static final int RECORDS = 250;
  private static final List<IncarnationId> WRITERS =
      List.of("a-1", "b-1", "c-1", "d-1").stream().map(IncarnationId::new).toList();
  private static final List<ServiceId> SERVICES =
      List.of(
          ServiceId.of("wool", "drafts"),
          ServiceId.of("wool", "bids"),
          ServiceId.of("spectrum", "tags"));

  @Test
  void budgetsBalanceAtEveryOffsetAndRestoredStateEqualsRefoldedState() {
    for (int seed = 0; seed < SEEDS; seed++) {
      run(seed);
    }
  }

  private static void run(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    FoldTestLog log = new FoldTestLog();
    OutcomeSums model = new OutcomeSums();
    List<byte[]> sent = new ArrayList<>();
    for (int i = 0; i < RECORDS; i++) {
      String context = "seed %d, record %d".formatted(seed, i);
      log.advanceClock(Duration.ofMinutes(random.nextInt(3) == 0 ? random.nextInt(600) : 0));
      model.add(log, append(log, sent, random));
      model.check(log, context);
      if (random.nextInt(40) == 0) {
        log.restoreFromExport();
      }
    }
    assertArrayEquals(refolded(log), log.fold().export(), "seed " + seed);
  }

  /**
   * Appends one record. Most are new; some are repeats, follow a missing sequence number or are not
   * a batch.
   */
  private static List<Outcome> append(FoldTestLog log, List<byte[]> sent, SplittableRandom random) {
    int kind = random.nextInt(20);
    IncarnationId writer = pick(WRITERS, random);
    if (kind == 0 && !sent.isEmpty()) {
      return log.writePayload(pick(sent, random));
    }
    if (kind == 1) {
      return log.writeAs(writer, 1_000 + random.nextInt(10), new Entry.Leave());
    }
    if (kind == 2) {
      return log.writePayload(new byte[] {(byte) random.nextInt(256), 3, 7});
    }
    Entry[] entries = new Entry[1 + random.nextInt(4)];
    for (int i = 0; i < entries.length; i++) {
      entries[i] = entry(log, writer, random);
    }
    List<Outcome> outcomes = log.write(writer, entries);
    sent.add(log.records.getLast().payload());
    return outcomes;
  }

  private static Entry entry(FoldTestLog log, IncarnationId writer, SplittableRandom random) {
    ServiceId service = pick(SERVICES, random);
    AccountId account = random.nextBoolean() ? AccountId.of(service) : AccountId.of(service.team());
    IncarnationId source = pick(WRITERS, random);
    long tokens = 1 + random.nextInt(60);
    long number = 1 + random.nextInt(80);
    ClaimKey key = new ClaimKey("key-" + random.nextInt(6));
    return switch (random.nextInt(17)) {
      case 0 -> new Entry.CreateBudget(account, random.nextInt(900), "ops", "c" + account);
      case 1 -> new Entry.TopUp(account, tokens, "ops", "t" + random.nextInt(20));
      case 2, 3, 4 -> LedgerFixtures.lease(service, tokens * 4, 1 + random.nextInt((int) tokens));
      case 5 -> new Entry.ReturnLease(service, source, tokens);
      case 6, 7 -> LedgerFixtures.charge(writer, number, service, source, tokens);
      case 8 -> keyedCharge(writer, number, service, source, tokens, random);
      case 9 -> LedgerFixtures.writeOff(writer, number, service, source, tokens);
      case 10 -> LedgerFixtures.claim(key.digest(), "body" + random.nextInt(2));
      case 11 -> LedgerFixtures.answer(key.digest(), "done");
      case 12 -> new Entry.ReleaseClaim(key);
      case 13 -> publish(log, random);
      case 14 ->
          new Entry.TakeOrders("pool", log.state().orders("pool").map(o -> o.term()).orElse(0L));
      case 15 -> LedgerFixtures.join(writer);
      default ->
          random.nextInt(12) == 0
              ? new Entry.Retire(source, "ops")
              : new Entry.TopUp(account, tokens, "ops", "r" + number);
    };
  }

  private static Entry keyedCharge(
      IncarnationId writer,
      long number,
      ServiceId service,
      IncarnationId source,
      long tokens,
      SplittableRandom random) {
    RequestId request = new RequestId("keyed-" + random.nextInt(10));
    List<Draw> draws = List.of(new Draw(source, tokens), new Draw(writer, 1));
    return LedgerFixtures.charge(writer, number, request, true, service, draws);
  }

  private static Entry publish(FoldTestLog log, SplittableRandom random) {
    SubtreeId subtree = SubtreeId.of(LedgerFixtures.TEAM);
    long base =
        random.nextInt(3) == 0 ? 0 : log.state().subtree(subtree).map(s -> s.revision()).orElse(0L);
    return new Entry.PublishSettings(
        subtree, base, "ops", random.nextInt(4) == 0 ? "bad" : "text " + base);
  }

  private static byte[] refolded(FoldTestLog log) {
    LedgerFold fold = FoldTestLog.newFold();
    for (LogRecord record : log.records) {
      fold.fold(record);
    }
    return fold.export();
  }

  private static <T> T pick(List<T> from, SplittableRandom random) {
    return from.get(random.nextInt(from.size()));
  }

  /** Computes the budgets from the outcomes alone. */
  private static final class OutcomeSums {
    private final Map<AccountId, Long> granted = new TreeMap<>();
    private final Map<AccountId, Long> spent = new TreeMap<>();
    private final Map<AccountId, Long> held = new TreeMap<>();

    void add(FoldTestLog log, List<Outcome> outcomes) {
      for (Outcome outcome : outcomes) {
        add(log, outcome);
      }
    }

    private void add(FoldTestLog log, Outcome outcome) {
      switch (outcome) {
        case Outcome.BudgetGranted o -> {
          if (granted.put(o.account(), o.granted()) == null) {
            spent.put(o.account(), 0L);
          }
        }
        case Outcome.LeaseGranted o -> addTokens(held, o.service(), o.tokens());
        case Outcome.LeaseReturned o -> addTokens(held, o.service(), -o.tokens());
        case Outcome.Charged o -> spend(o.service(), o.tokens());
        case Outcome.WrittenOff o -> spend(o.service(), o.tokens());
        default -> {}
      }
    }

    private void spend(ServiceId service, long tokens) {
      addTokens(held, service, -tokens);
      addTokens(spent, service, tokens);
    }

    private static void addTokens(Map<AccountId, Long> sums, ServiceId service, long tokens) {
      sums.merge(AccountId.of(service), tokens, Long::sum);
      sums.merge(AccountId.of(service.team()), tokens, Long::sum);
    }

    void check(FoldTestLog log, String context) {
      assertEquals(Optional.empty(), log.state().findImbalance(), context);
      granted.forEach((account, tokens) -> check(log, account, tokens, context));
    }

    /**
     * Checks one budget. The model does not distinguish whether tokens of a source are leased or,
     * once it has ended, written off, so only their sum is compared.
     */
    private void check(FoldTestLog log, AccountId account, long tokens, String context) {
      AccountView view = log.state().account(account).orElseThrow();
      long used = spent.getOrDefault(account, 0L) + held.getOrDefault(account, 0L);
      assertEquals(tokens, view.granted(), context);
      assertEquals(used, view.charged() + view.writtenOff() + view.leased(), context);
      assertEquals(tokens - used, view.remaining(), context);
      assertTrue(view.remaining() >= 0, context);
    }
  }
}
