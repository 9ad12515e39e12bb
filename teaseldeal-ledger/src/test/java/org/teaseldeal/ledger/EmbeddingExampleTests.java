package org.teaseldeal.ledger;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.teaseldeal.api.CustomerId;
import org.teaseldeal.api.DataCentre;
import org.teaseldeal.api.IncarnationId;
import org.teaseldeal.api.InstanceId;
import org.teaseldeal.api.RequestId;
import org.teaseldeal.api.ServiceId;
import org.teaseldeal.ledger.client.LedgerClient;
import org.teaseldeal.ledger.client.LedgerConfig;
import org.teaseldeal.ledger.entry.Entry;
import org.teaseldeal.ledger.fold.EntryOutcome;
import org.teaseldeal.ledger.fold.SettingsValidator;
import org.teaseldeal.ledger.lease.LocalLeases;
import org.teaseldeal.ledger.lease.Reservation;
import org.teaseldeal.ledger.outcome.Outcome;
import org.teaseldeal.ledger.state.AccountView;

/**
 * Runs the example program of docs/EMBEDDING.md and checks that the page shows it unchanged. The
 * page contains the lines between the two markers.
 */
class EmbeddingExampleTests {
  private static final Path PAGE = Path.of("..", "docs", "EMBEDDING.md");
  private static final Path SOURCE =
      Path.of("src/test/java/org/teaseldeal/ledger/EmbeddingExampleTests.java");

  // page: begin
  /** Spends 100 of 1,000 prepaid tokens on one request, over a log in memory. */
  static final class OneRequest {
    private final StreamId stream = new StreamId(0);
    private final IncarnationId self = new IncarnationId("desk-1-7f3a");
    private final ServiceId service = ServiceId.of("wool", "drafts");
    private final List<LogRecord> log = new ArrayList<>();
    private final LocalLeases leases = new LocalLeases();
    private final LedgerClient client =
        new LedgerClient(
            self, stream, LedgerConfig.DEFAULT, SettingsValidator.STANDARD, InstantSource.system());

    AccountView run() throws InterruptedException {
      AccountId team = AccountId.of(service.team());
      client.submit(
          new Entry.Join(new InstanceId("desk-1"), new DataCentre("hall-a"), "127.0.0.1:9000"));
      client.submit(new Entry.CreateBudget(team, 1_000, "ann", "december"));
      client.submit(new Entry.RequestLease(service, 400, 100));
      runUntilIdle();

      Reservation reservation = leases.reserve(service, 250).orElseThrow();
      List<Draw> draws = leases.settle(reservation, 100);
      CustomerId customer = new CustomerId(service.team(), "mill");
      RequestId request = new RequestId(self + "-1");
      ChargeId charge = new ChargeId(self, 1);
      client.submit(new Entry.Charge(charge, request, false, service, customer, draws));
      runUntilIdle();
      return client.state().account(team).orElseThrow();
    }

    private void runUntilIdle() throws InterruptedException {
      while (!client.idle()) {
        for (LogCommand command : client.poll()) {
          client.handle(carryOut(command)).forEach(this::take);
        }
        Thread.sleep(5);
      }
    }

    private void take(EntryOutcome settled) {
      boolean own = client.ticket(settled).isPresent();
      if (own && settled.outcome() instanceof Outcome.LeaseGranted lease) {
        leases.credit(lease.service(), List.of(new Draw(self, lease.tokens())));
      }
    }

    private LogEvent carryOut(LogCommand command) {
      return switch (command) {
        case LogCommand.Append append -> {
          log.add(new LogRecord(log.size(), InstantSource.system().instant(), append.payload()));
          yield new LogEvent.AppendAcknowledged(stream, append.token(), log.size() - 1);
        }
        case LogCommand.Read read -> {
          List<LogRecord> records = log.subList((int) read.fromOffset(), log.size());
          yield new LogEvent.RecordsRead(stream, read.fromOffset(), records, 0, log.size());
        }
      };
    }
  }

  // page: end

  @Test
  void theProgramChargesTheTeamBudget() throws InterruptedException {
    AccountView team = new OneRequest().run();

    assertEquals(1_000, team.granted());
    assertEquals(100, team.charged());
    assertEquals(300, team.leased());
    assertEquals(600, team.remaining());
  }

  @Test
  void thePageShowsTheProgramUnchanged() throws IOException {
    String source = Files.readString(SOURCE);
    int begin = source.indexOf("// page: begin\n") + "// page: begin\n".length();
    String program = source.substring(begin, source.indexOf("  // page: end"));

    assertTrue(
        Files.readString(PAGE)
            .contains("```java\n" + program.stripTrailing().stripIndent() + "\n```"));
  }
}
