package org.teaseldeal.bench.demo;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.teaseldeal.api.RequestId;
import org.teaseldeal.bench.load.Outcome;
import org.teaseldeal.bench.load.Sample;
import org.teaseldeal.bench.scenario.Flow;
import org.teaseldeal.ledger.outcome.Outcome.Charged;
import org.teaseldeal.ledger.state.AccountView;

/** The checks of the demo, each with the problems that it found. */
final class DemoChecks {
  private static final int MAX_SHOWN = 5;

  /** The price that the demo's settings contain for a call of a plain service. */
  private static final int TOKENS_PER_CALL = 1;

  private final List<Sample> samples;
  private final LedgerAudit ledger;
  private final ServerAudit servers;
  private final Map<String, Long> granted;
  private final Set<String> nonIdempotent;
  private final int sent;

  /**
   * Creates the checks.
   *
   * @param sent the number of requests that callers sent
   * @param granted the tokens that the operator granted to each account
   * @param nonIdempotent the services whose calls may run at most once, as {@code team/service}
   */
  DemoChecks(
      int sent,
      List<Sample> samples,
      LedgerAudit ledger,
      ServerAudit servers,
      Map<String, Long> granted,
      Set<String> nonIdempotent) {
    this.sent = sent;
    this.samples = samples;
    this.ledger = ledger;
    this.servers = servers;
    this.granted = new TreeMap<>(granted);
    this.nonIdempotent = Set.copyOf(nonIdempotent);
  }

  /** Returns all checks in the order in which they are printed. */
  List<Check> all() {
    return List.of(
        new Check("every caller's request came to an end", unfinishedRequests()),
        new Check("no caller got a part of another's answer", wrongAnswers()),
        new Check("no request is charged twice", doubleCharges()),
        new Check("every charge is what was used", wrongCharges()),
        new Check("every whole answer is charged", unchargedAnswers()),
        new Check("no call that may not be repeated ran twice", doubleRuns()),
        new Check("every refusal that says not-run was not run", falseRefusals()),
        new Check("granted = charged + written off + leased + remaining", imbalances()),
        new Check("what was used is covered by charged + written off + leased", overspend()));
  }

  private List<String> unfinishedRequests() {
    return samples.size() == sent
        ? List.of()
        : List.of("%d of %d".formatted(sent - samples.size(), sent));
  }

  private List<String> wrongAnswers() {
    return samples.stream()
        .filter(sample -> sample.outcome() == Outcome.WRONG)
        .map(sample -> "%s: %s".formatted(name(sample), sample.cause().orElse("")))
        .toList();
  }

  private List<String> doubleCharges() {
    return ledger.charges().values().stream()
        .filter(charges -> charges.size() > 1)
        .map(charges -> "%s: %s".formatted(charges.getFirst().request(), charges))
        .toList();
  }

  private List<String> wrongCharges() {
    List<String> problems = new ArrayList<>();
    for (List<Charged> charges : ledger.charges().values()) {
      Charged charge = charges.getFirst();
      String request = charge.request().value();
      boolean asUsed =
          servers.runs(request) > 0
              ? charge.tokens() == TOKENS_PER_CALL
              : servers.tokens(request).contains(charge.tokens());
      if (!asUsed) {
        problems.add(
            "%s: charged %d, used %s".formatted(request, charge.tokens(), servers.tokens(request)));
      }
    }
    return problems;
  }

  private List<String> unchargedAnswers() {
    return samples.stream()
        .filter(DemoChecks::isComplete)
        .filter(sample -> !ledger.charges().containsKey(requestId(sample)))
        .map(DemoChecks::name)
        .toList();
  }

  private List<String> doubleRuns() {
    Set<String> mayRunAgain =
        samples.stream()
            .filter(sample -> !nonIdempotent.contains(sample.arrival().flow().service().toString()))
            .map(sample -> requestId(sample).value())
            .collect(Collectors.toSet());
    return servers.repeatedRuns().stream()
        .filter(request -> !mayRunAgain.contains(request))
        .sorted()
        .toList();
  }

  private List<String> falseRefusals() {
    return samples.stream()
        .filter(sample -> sample.outcome() == Outcome.REFUSED && sample.requestId().isPresent())
        .filter(sample -> ran(requestId(sample).value()))
        .map(sample -> "%s: %s".formatted(name(sample), sample.cause().orElse("")))
        .toList();
  }

  private List<String> imbalances() {
    List<String> problems = new ArrayList<>(ledger.imbalances());
    for (AccountView view : ledger.accounts()) {
      long put = granted.getOrDefault(view.account().toString(), 0L);
      long charged = ledger.chargedTo(view.account());
      long sum = charged + view.writtenOff() + view.leased() + view.remaining();
      if (sum != put || view.granted() != put) {
        problems.add(
            "%s: granted %d by the operator, %d on the log; charged, written off, leased and"
                    .formatted(view.account(), put, view.granted())
                + " remaining are %d".formatted(sum));
      }
    }
    return problems;
  }

  private List<String> overspend() {
    long counted =
        ledger.accounts().stream()
            .filter(view -> view.account().service().isEmpty())
            .mapToLong(view -> view.charged() + view.writtenOff() + view.leased())
            .sum();
    long used = servers.engineTokens() + servers.serviceRuns();
    return used <= counted
        ? List.of()
        : List.of("%d tokens were used, %d are counted".formatted(used, counted));
  }

  private boolean ran(String request) {
    return servers.runs(request) > 0
        || servers.tokens(request).stream().anyMatch(tokens -> tokens > 0);
  }

  static boolean isComplete(Sample sample) {
    return sample.outcome() == Outcome.IN_TIME || sample.outcome() == Outcome.LATE;
  }

  private static RequestId requestId(Sample sample) {
    return new RequestId(sample.requestId().orElse("unknown"));
  }

  private static String name(Sample sample) {
    Flow flow = sample.arrival().flow();
    return "%s %d (%s)"
        .formatted(flow.name(), sample.arrival().number(), sample.requestId().orElse("no id"));
  }

  /** A statement about the run. It holds if no problem was found. */
  record Check(String statement, List<String> problems) {
    Check {
      problems = List.copyOf(problems);
    }

    boolean holds() {
      return problems.isEmpty();
    }

    String format() {
      StringBuilder text = new StringBuilder();
      text.append(holds() ? "  holds  " : "  BROKEN ").append(statement);
      if (!holds()) {
        text.append(": ").append(problems.size());
        problems.stream()
            .limit(MAX_SHOWN)
            .forEach(problem -> text.append("\n           ").append(problem));
      }
      return text.toString();
    }
  }
}
