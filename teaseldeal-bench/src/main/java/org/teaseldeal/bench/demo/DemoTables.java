package org.teaseldeal.bench.demo;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.teaseldeal.bench.load.Outcome;
import org.teaseldeal.bench.load.Sample;
import org.teaseldeal.ledger.outcome.Outcome.Charged;
import org.teaseldeal.ledger.state.AccountView;

/** Formats the tables that the demo prints. */
final class DemoTables {
  private DemoTables() {}

  /** Returns the outcomes of requests and the number of charges, by service. */
  static String requests(List<Sample> samples, LedgerAudit ledger) {
    List<List<String>> rows = new ArrayList<>();
    rows.add(
        List.of("service", "sent", "whole", "refused", "failed", "broken", "silent", "charged"));
    Map<String, List<Sample>> byService =
        samples.stream()
            .collect(
                Collectors.groupingBy(
                    sample -> sample.arrival().flow().service().toString(),
                    TreeMap::new,
                    Collectors.toList()));
    byService.forEach((service, ofService) -> rows.add(requestRow(service, ofService, ledger)));
    rows.add(requestRow("all", samples, ledger));
    return table(rows);
  }

  /** Returns the number of requests without a complete answer, by outcome and cause. */
  static String causes(List<Sample> samples) {
    List<List<String>> rows = new ArrayList<>();
    rows.add(List.of("not answered whole", "cause", "requests"));
    Map<String, Long> counts =
        samples.stream()
            .filter(sample -> !DemoChecks.isComplete(sample))
            .collect(
                Collectors.groupingBy(
                    sample ->
                        sample.outcome().name().toLowerCase()
                            + "\t"
                            + sample.cause().orElse("none"),
                    TreeMap::new,
                    Collectors.counting()));
    counts.forEach(
        (key, count) -> {
          List<String> row = new ArrayList<>(Arrays.asList(key.split("\t")));
          row.add(String.valueOf(count));
          rows.add(row);
        });
    return counts.isEmpty() ? "all requests were answered whole\n" : table(rows);
  }

  /** Returns the state of the budgets at the end of the log. */
  static String budgets(List<AccountView> accounts) {
    List<List<String>> rows = new ArrayList<>();
    rows.add(List.of("budget", "granted", "charged", "written off", "leased", "remaining"));
    accounts.stream()
        .sorted(Comparator.comparing(view -> view.account().toString()))
        .forEach(
            view ->
                rows.add(
                    List.of(
                        view.account().toString(),
                        number(view.granted()),
                        number(view.charged()),
                        number(view.writtenOff()),
                        number(view.leased()),
                        number(view.remaining()))));
    return table(rows);
  }

  private static List<String> requestRow(String name, List<Sample> samples, LedgerAudit ledger) {
    return List.of(
        name,
        number(samples.size()),
        number(samples.stream().filter(DemoChecks::isComplete).count()),
        number(count(samples, Outcome.REFUSED)),
        number(count(samples, Outcome.FAILED) + count(samples, Outcome.WRONG)),
        number(count(samples, Outcome.BROKEN)),
        number(count(samples, Outcome.SILENT)),
        number(name.equals("all") ? charges(ledger, "") : charges(ledger, name)));
  }

  private static long charges(LedgerAudit ledger, String service) {
    return ledger.charges().values().stream()
        .flatMap(List::stream)
        .map(Charged::service)
        .filter(charged -> service.isEmpty() || charged.toString().equals(service))
        .count();
  }

  private static long count(List<Sample> samples, Outcome outcome) {
    return samples.stream().filter(sample -> sample.outcome() == outcome).count();
  }

  private static String number(long value) {
    return "%,d".formatted(value);
  }

  private static String table(List<List<String>> rows) {
    int columns = rows.getFirst().size();
    int[] widths = new int[columns];
    rows.forEach(
        row -> {
          for (int i = 0; i < columns; i++) {
            widths[i] = Math.max(widths[i], row.get(i).length());
          }
        });
    StringBuilder text = new StringBuilder();
    for (List<String> row : rows) {
      text.append("  ").append(padRight(row.getFirst(), widths[0]));
      for (int i = 1; i < columns; i++) {
        text.append("  ").append(" ".repeat(widths[i] - row.get(i).length())).append(row.get(i));
      }
      text.append('\n');
    }
    return text.toString();
  }

  private static String padRight(String text, int width) {
    return text + " ".repeat(width - text.length());
  }
}
