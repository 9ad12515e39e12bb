package org.teaseldeal.model;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * The result of one simulation.
 *
 * @param byKind the tallies of requests by kind
 * @param refusals the number of refused attempts by the label of their reason
 * @param cost the cost of coordination
 * @param observations what else was measured, as text
 * @param violations descriptions of invariants that were violated; empty if all held
 */
public record SimulationResult(
    String scenario,
    int instances,
    long seed,
    Map<String, Tally> byKind,
    Map<String, Long> refusals,
    Cost cost,
    List<String> observations,
    List<String> violations) {
  /**
   * The outcomes of the requests of one kind.
   *
   * @param worth the sum of the worth of requests that were answered
   * @param maxWorth the sum that answering every request in time would give
   */
  public record Tally(
      long sent, long inTime, long late, long refused, long failed, double worth, double maxWorth) {
    Tally plus(Tally other) {
      return new Tally(
          sent + other.sent,
          inTime + other.inTime,
          late + other.late,
          refused + other.refused,
          failed + other.failed,
          worth + other.worth,
          maxWorth + other.maxWorth);
    }
  }

  /**
   * The traffic of an instance with its peers and the log, as a mean per instance and second.
   *
   * @param sharedTokensRead tokens of shared prompt parts that the engines read uncached, in total
   * @param crashedByParts the engines that crashed under requests with a crashing part
   */
  public record Cost(
      double messages,
      double bytes,
      double appends,
      double reads,
      long sharedTokensRead,
      long crashedByParts) {}

  public SimulationResult {
    byKind = Map.copyOf(byKind);
    refusals = Map.copyOf(refusals);
    observations = List.copyOf(observations);
    violations = List.copyOf(violations);
  }

  /** Returns the sum of the tallies of all kinds. */
  public Tally total() {
    return byKind.values().stream().reduce(new Tally(0, 0, 0, 0, 0, 0, 0), Tally::plus);
  }

  /** Returns the worth of the answered requests as a share of the maximum; 1 if that is 0. */
  public double relativeWorth() {
    Tally total = total();
    return total.maxWorth() == 0 ? 1 : total.worth() / total.maxWorth();
  }

  /** Returns a report, which is the same text for the same result. */
  public String text() {
    StringBuilder text = new StringBuilder();
    text.append(
        line("%s, %d instances, seed %d: worth %.4f", scenario, instances, seed, relativeWorth()));
    new TreeMap<>(byKind)
        .forEach(
            (kind, tally) ->
                text.append(
                    line(
                        "  %-16s sent %6d in time %6d late %6d refused %5d failed %5d",
                        kind,
                        tally.sent(),
                        tally.inTime(),
                        tally.late(),
                        tally.refused(),
                        tally.failed())));
    text.append(line("  refusals %s", new TreeMap<>(refusals)));
    text.append(
        line(
            "  an instance a second: messages %.1f octets %.0f appends %.2f reads %.2f;"
                + " shared tokens read %d",
            cost.messages(), cost.bytes(), cost.appends(), cost.reads(), cost.sharedTokensRead()));
    if (cost.crashedByParts() > 0) {
      text.append(line("  engines crashed by a part of a prompt: %d", cost.crashedByParts()));
    }
    observations.forEach(observation -> text.append(line("  %s", observation)));
    violations.forEach(violation -> text.append(line("  BROKEN: %s", violation)));
    return text.toString();
  }

  private static String line(String format, Object... values) {
    return String.format(Locale.ROOT, format, values) + "\n";
  }
}
