package org.teaseldeal.bench.demo;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.teaseldeal.api.CustomerId;
import org.teaseldeal.api.DataCentre;
import org.teaseldeal.api.IncarnationId;
import org.teaseldeal.api.InstanceId;
import org.teaseldeal.api.RequestId;
import org.teaseldeal.api.ServiceId;
import org.teaseldeal.bench.demo.DemoChecks.Check;
import org.teaseldeal.bench.load.Arrival;
import org.teaseldeal.bench.load.Outcome;
import org.teaseldeal.bench.load.Sample;
import org.teaseldeal.bench.scenario.Flow;
import org.teaseldeal.ledger.AccountId;
import org.teaseldeal.ledger.ChargeId;
import org.teaseldeal.ledger.Draw;
import org.teaseldeal.ledger.LogRecord;
import org.teaseldeal.ledger.codec.Batch;
import org.teaseldeal.ledger.codec.BatchCodec;
import org.teaseldeal.ledger.entry.Entry;

/**
 * Runs the checks on a consistent run and, for each check, on a run that only this check must
 * reject. A check that overlooks inconsistencies would make every demo pass.
 */
class DemoChecksTests {
  private static final ServiceId DRAFTS = ServiceId.of("wool", "drafts");
  private static final ServiceId BIDS = ServiceId.of("wool", "bids");
  private static final CustomerId MILL = CustomerId.parse("wool/mill");
  private static final IncarnationId WRITER = new IncarnationId("router-1.a");
  private static final long GRANTED = 1_000;

  private final LedgerAudit ledger = new LedgerAudit();
  private final ServerAudit servers = new ServerAudit();
  private final List<Sample> samples = new ArrayList<>();
  private long granted = GRANTED;
  private int sent = 2;
  private long records;

  @BeforeEach
  void answerAndChargeOneDraftAndOneBid() {
    append(
        new Entry.Join(new InstanceId("router-1"), new DataCentre("hall-a"), "127.0.0.1:1"),
        new Entry.CreateBudget(AccountId.of(DRAFTS.team()), GRANTED, "ann", "op-1"),
        new Entry.RequestLease(DRAFTS, 500, 500),
        new Entry.RequestLease(BIDS, 100, 100));
    append(charge(1, "r1", DRAFTS, 40), charge(2, "r2", BIDS, 1));
    servers.addTokens("r1", 40);
    servers.addRuns("r2", 1);
    samples.add(sample(Flow.Kind.MODEL, DRAFTS, "r1", Outcome.IN_TIME));
    samples.add(sample(Flow.Kind.PLAIN, BIDS, "r2", Outcome.IN_TIME));
  }

  @Test
  void allChecksHoldForAConsistentRun() {
    assertBroken();
  }

  @Test
  void unfinishedRequestIsFound() {
    sent = 3;
    assertBroken("every caller's request came to an end");
  }

  @Test
  void partOfAnotherAnswerIsFound() {
    samples.add(sample(Flow.Kind.MODEL, DRAFTS, "r1", Outcome.WRONG));
    sent = 3;
    assertBroken("no caller got a part of another's answer");
  }

  // Two routers charge the same request, each with its own charge id.
  @Test
  void secondChargeOfARequestIsFound() {
    append(charge(3, "r1", DRAFTS, 40));
    assertBroken("no request is charged twice");
  }

  @Test
  void chargeOfMoreThanWasUsedIsFound() {
    append(charge(3, "r3", DRAFTS, 50));
    servers.addTokens("r3", 49);
    assertBroken("every charge is what was used");
  }

  @Test
  void plainCallChargedForMoreThanItsPriceIsFound() {
    append(charge(3, "r3", BIDS, 2));
    servers.addRuns("r3", 1);
    assertBroken("every charge is what was used");
  }

  @Test
  void completeAnswerWithoutAChargeIsFound() {
    samples.add(sample(Flow.Kind.MODEL, DRAFTS, "r3", Outcome.LATE));
    sent = 3;
    assertBroken("every whole answer is charged");
  }

  @Test
  void bidThatRanTwiceIsFound() {
    servers.addRuns("r2", 2);
    assertBroken("no call that may not be repeated ran twice");
  }

  @Test
  void refusalOfARequestThatRanIsFound() {
    samples.add(sample(Flow.Kind.MODEL, DRAFTS, "r3", Outcome.REFUSED));
    sent = 3;
    servers.addTokens("r3", 12);
    assertBroken("every refusal that says not-run was not run");
  }

  @Test
  void budgetThatDiffersFromTheGrantIsFound() {
    granted = GRANTED - 1;
    assertBroken("granted = charged + written off + leased + remaining");
  }

  @Test
  void unaccountedTokenUseIsFound() {
    servers.addTokens("r4", 600);
    assertBroken("what was used is covered by charged + written off + leased");
  }

  private void assertBroken(String... promises) {
    DemoChecks checks =
        new DemoChecks(
            sent, samples, ledger, servers, Map.of("wool", granted), Set.of(BIDS.toString()));
    assertEquals(
        List.of(promises),
        checks.all().stream().filter(check -> !check.holds()).map(Check::statement).toList());
  }

  private void append(Entry... entries) {
    byte[] payload = BatchCodec.encode(new Batch(WRITER, records + 1, -1, List.of(entries)));
    ledger.fold(new LogRecord(records, Instant.parse("2026-01-01T00:00:00Z"), payload));
    records++;
  }

  private static Entry.Charge charge(long number, String request, ServiceId service, long tokens) {
    return new Entry.Charge(
        new ChargeId(WRITER, number),
        new RequestId(request),
        false,
        service,
        MILL,
        List.of(new Draw(WRITER, tokens)));
  }

  private static Sample sample(Flow.Kind kind, ServiceId service, String request, Outcome outcome) {
    Flow flow =
        new Flow(
            service.name(),
            kind,
            service,
            MILL,
            "token",
            1,
            0,
            1,
            1,
            Duration.ofSeconds(1),
            true,
            false);
    return new Sample(
        new Arrival(Duration.ZERO, flow, 0),
        outcome,
        Optional.of(request),
        Optional.empty(),
        Optional.empty(),
        Duration.ZERO,
        List.of(),
        1);
  }
}
