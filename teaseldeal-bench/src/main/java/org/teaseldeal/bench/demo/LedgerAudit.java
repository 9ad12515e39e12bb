package org.teaseldeal.bench.demo;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.teaseldeal.api.RequestId;
import org.teaseldeal.ledger.AccountId;
import org.teaseldeal.ledger.LogRecord;
import org.teaseldeal.ledger.StreamId;
import org.teaseldeal.ledger.fold.KeyRetention;
import org.teaseldeal.ledger.fold.LedgerFold;
import org.teaseldeal.ledger.fold.SettingsValidator;
import org.teaseldeal.ledger.outcome.Outcome;
import org.teaseldeal.ledger.state.AccountView;

/** The budgets and charges that result from reading the platform's log from its first record. */
public final class LedgerAudit {
  private static final int RECORDS_AT_ONCE = 1_000;

  /** The only ledger stream of the demo. */
  private static final StreamId STREAM = new StreamId(0);

  private final LedgerFold fold =
      new LedgerFold(STREAM, KeyRetention.DEFAULT, SettingsValidator.STANDARD);
  private final Map<RequestId, List<Outcome.Charged>> charges = new HashMap<>();
  private long repeatedCharges;
  private long records;

  LedgerAudit() {}

  /** Reads the whole log. */
  public static LedgerAudit read(JsonClient web, String platform)
      throws DemoException, InterruptedException {
    LedgerAudit audit = new LedgerAudit();
    long next = 0;
    while (true) {
      JsonNode page =
          web.json(
              platform,
              "/log/%s/records?from=%d&max=%d".formatted(STREAM.logName(), next, RECORDS_AT_ONCE));
      if (page.path("records").isEmpty()) {
        return audit;
      }
      for (JsonNode record : page.path("records")) {
        audit.fold(logRecord(record));
        next = record.path("offset").asLong() + 1;
      }
    }
  }

  /** Returns the charges that took effect, by request. */
  public Map<RequestId, List<Outcome.Charged>> charges() {
    return charges;
  }

  /** Returns the number of charges that were appended again and had no effect. */
  public long repeatedCharges() {
    return repeatedCharges;
  }

  long records() {
    return records;
  }

  /** Returns all budgets, ordered by name. */
  public List<AccountView> accounts() {
    return fold.state().accounts().sorted((a, b) -> a.account().compareTo(b.account())).toList();
  }

  /** Returns the sum of the charges to an account. */
  long chargedTo(AccountId account) {
    return charges.values().stream()
        .flatMap(List::stream)
        .filter(charge -> draws(charge, account))
        .mapToLong(Outcome.Charged::tokens)
        .sum();
  }

  /** Returns the first budget whose leases do not match its balance, or an empty list. */
  public List<String> imbalances() {
    List<String> problems = new ArrayList<>();
    fold.state().findImbalance().ifPresent(problems::add);
    return problems;
  }

  private static boolean draws(Outcome.Charged charge, AccountId account) {
    return account.equals(AccountId.of(charge.service()))
        || account.equals(AccountId.of(charge.service().team()));
  }

  /** Folds the next record of the log. */
  void fold(LogRecord record) {
    records++;
    fold.fold(record).forEach(entry -> addOutcome(entry.outcome()));
  }

  private static LogRecord logRecord(JsonNode record) throws DemoException {
    try {
      return new LogRecord(
          record.path("offset").asLong(),
          Instant.parse(record.path("appended_at").asText()),
          record.path("payload").binaryValue());
    } catch (IOException e) {
      throw new DemoException("the payload of a log record is not base64: " + record);
    }
  }

  private void addOutcome(Outcome outcome) {
    switch (outcome) {
      case Outcome.Charged charged ->
          charges.computeIfAbsent(charged.request(), id -> new ArrayList<>()).add(charged);
      case Outcome.ChargeRepeated repeated -> repeatedCharges++;
      default -> {}
    }
  }
}
