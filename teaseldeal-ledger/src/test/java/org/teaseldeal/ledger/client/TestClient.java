package org.teaseldeal.ledger.client;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.teaseldeal.api.IncarnationId;
import org.teaseldeal.ledger.LogCommand;
import org.teaseldeal.ledger.StreamId;
import org.teaseldeal.ledger.entry.Entry;
import org.teaseldeal.ledger.fold.EntryOutcome;
import org.teaseldeal.ledger.outcome.Outcome;

/** A client connected to a {@link FakeLog} that keeps the outcomes of its own entries. */
final class TestClient {
  static final StreamId STREAM = new StreamId(0);

  final LedgerClient ledger;
  final List<EntryOutcome> ownOutcomes = new ArrayList<>();
  private final FakeLog log;
  private final ManualClock clock;

  TestClient(IncarnationId self, LedgerConfig config, FakeLog log, ManualClock clock) {
    this.log = log;
    this.clock = clock;
    ledger = new LedgerClient(self, STREAM, config, (subtree, toml) -> List.of(), clock);
  }

  void tick() {
    for (LogCommand command : ledger.poll()) {
      log.execute(command).ifPresent(event -> keep(ledger.handle(event)));
    }
  }

  private void keep(List<EntryOutcome> outcomes) {
    outcomes.stream()
        .filter(outcome -> ledger.ticket(outcome).isPresent())
        .forEach(ownOutcomes::add);
  }

  /** Ticks every 10 ms for {@code duration} and advances the clock accordingly. */
  void runFor(Duration duration) {
    for (long millis = 0; millis < duration.toMillis(); millis += 10) {
      tick();
      clock.advance(Duration.ofMillis(10));
    }
    tick();
  }

  /** Submits an entry and runs until its outcome has been read back. */
  Outcome submitAndAwait(Entry entry) {
    Ticket ticket = ledger.submit(entry);
    runFor(Duration.ofMillis(300));
    return outcome(ticket).orElseThrow();
  }

  Optional<Outcome> outcome(Ticket ticket) {
    return ownOutcomes.stream()
        .filter(outcome -> ledger.ticket(outcome).equals(Optional.of(ticket)))
        .map(EntryOutcome::outcome)
        .findFirst();
  }
}
