package org.teaseldeal.model;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * What came of a play.
 *
 * @param broken promises that were not kept; none if all were
 * @param refusals by the label of their reason
 * @param cost of coordination, means over the instances and seconds
 */
public record PlayResult(
    String scenario,
    int instances,
    long seed,
    Map<String, Tally> byKind,
    Map<String, Long> refusals,
    Cost cost,
    List<String> broken) {
  /** How the requests of a kind came out. */
  public record Tally(
      long sent, long inTime, long late, long refused, long failed, double worth, double owed) {
    Tally plus(Tally other) {
      return new Tally(
          sent + other.sent,
          inTime + other.inTime,
          late + other.late,
          refused + other.refused,
          failed + other.failed,
          worth + other.worth,
          owed + other.owed);
    }
  }

  /** What an instance exchanges in a second, with other instances and the log. */
  public record Cost(
      double messages, double octets, double appends, double reads, long sharedTokensRead) {}

  public PlayResult {
    byKind = Map.copyOf(byKind);
    refusals = Map.copyOf(refusals);
    broken = List.copyOf(broken);
  }

  /** All kinds together. */
  public Tally all() {
    return byKind.values().stream().reduce(new Tally(0, 0, 0, 0, 0, 0, 0), Tally::plus);
  }

  /** The part of the worth owed that was earned. */
  public double worth() {
    Tally all = all();
    return all.owed() == 0 ? 1 : all.worth() / all.owed();
  }

  /** The same text for the same play. */
  public String text() {
    StringBuilder text = new StringBuilder();
    text.append(line("%s, %d instances, seed %d: worth %.4f", scenario, instances, seed, worth()));
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
            cost.messages(), cost.octets(), cost.appends(), cost.reads(), cost.sharedTokensRead()));
    broken.forEach(promise -> text.append(line("  BROKEN: %s", promise)));
    return text.toString();
  }

  private static String line(String format, Object... values) {
    return String.format(Locale.ROOT, format, values) + "\n";
  }
}
