package org.teaseldeal.bench.report;

import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import org.teaseldeal.api.Preconditions;
import org.teaseldeal.bench.load.LoadResult;
import org.teaseldeal.bench.load.Outcome;
import org.teaseldeal.bench.load.Percentiles;

/** Renders an HTML page about one run, or about several runs of the same scenario side by side. */
public final class HtmlReport {
  private static final String STYLE =
      """
      body { font: 15px/1.5 sans-serif; margin: 2em auto; max-width: 75em; padding: 0 1em; }
      table { border-collapse: collapse; margin: 1em 0; }
      td, th { border: 1px solid #bbb; padding: 0.2em 0.6em; text-align: right; }
      td:first-child, th:first-child { text-align: left; }
      img { max-width: 100%; }
      """;

  private HtmlReport() {}

  /** Returns the HTML of the page. */
  public static String of(List<LoadResult> results) {
    Preconditions.require(!results.isEmpty(), "results were none, expected at least one");
    LoadResult first = results.getFirst();
    return """
        <!doctype html>
        <html lang="en"><head><meta charset="utf-8"><title>%s</title><style>%s</style></head><body>
        <h1>%s</h1>
        <p>Scenario <code>%s</code>, seed %d, %.0f s. Times are counted from when a request was due, in
        milliseconds; percentiles hold to 0.1%% of their value. The generator sent no request later than %.1f ms after its time.</p>
        <h2>In all</h2>%s
        <h2>By flow</h2>%s
        <h2>Refusals and errors by cause</h2>%s
        <h2>Over time</h2>%s
        <h2>By customer</h2>%s
        </body></html>
        """
        .formatted(
            escape(first.title()),
            STYLE,
            escape(first.title()),
            escape(first.scenario()),
            first.seed(),
            first.seconds(),
            results.stream().mapToDouble(LoadResult::lagMillisMax).max().orElse(0),
            totals(results),
            flows(results),
            causes(results),
            overTime(results),
            picture(Charts.inTimeByCustomer(results), "answered in time, by customer"));
  }

  private static String totals(List<LoadResult> results) {
    String rows =
        results.stream()
            .map(result -> row(result.label(), result.all(), result.seconds()))
            .collect(Collectors.joining());
    return table("run", rows);
  }

  private static String flows(List<LoadResult> results) {
    StringBuilder rows = new StringBuilder();
    for (LoadResult result : results) {
      result
          .byFlow()
          .forEach(
              (name, part) ->
                  rows.append(row(result.label() + ": " + name, part, result.seconds())));
    }
    return table("run and flow", rows.toString());
  }

  private static String table(String what, String rows) {
    return """
        <table><tr><th>%s</th><th>sent</th><th>in time</th><th>%%</th><th>late</th><th>refused</th>
        <th>failed</th><th>broken</th><th>wrong</th><th>silent</th><th>goodput /s</th><th>first p50</th><th>p95</th><th>p99</th>
        <th>gap p95</th><th>whole p50</th><th>p99</th></tr>%s</table>
        """
        .formatted(what, rows);
  }

  private static String row(String name, LoadResult.Part part, double seconds) {
    Percentiles first = part.toFirstMillis();
    long inTime = count(part, Outcome.IN_TIME);
    return "<tr><td>%s</td>".formatted(escape(name))
        + cell(part.sent())
        + cell(inTime)
        + "<td>%.1f</td>".formatted(100 * part.inTimeShare())
        + cell(count(part, Outcome.LATE))
        + cell(count(part, Outcome.REFUSED))
        + cell(count(part, Outcome.FAILED))
        + cell(count(part, Outcome.BROKEN))
        + cell(count(part, Outcome.WRONG))
        + cell(count(part, Outcome.SILENT))
        + "<td>%.1f</td>".formatted(inTime / seconds)
        + millis(first.p50())
        + millis(first.p95())
        + millis(first.p99())
        + millis(part.gapMillis().p95())
        + millis(part.toEndMillis().p50())
        + millis(part.toEndMillis().p99())
        + "</tr>\n";
  }

  private static String causes(List<LoadResult> results) {
    StringBuilder rows = new StringBuilder();
    for (LoadResult result : results) {
      result
          .all()
          .causes()
          .forEach(
              (cause, count) ->
                  rows.append(
                      "<tr><td>%s: %s</td><td>%d</td></tr>"
                          .formatted(escape(result.label()), escape(cause), count)));
    }
    return rows.isEmpty()
        ? "<p>None.</p>"
        : "<table><tr><th>run and cause</th><th>requests</th></tr>" + rows + "</table>";
  }

  private static String overTime(List<LoadResult> results) {
    String outcomes =
        results.stream()
            .map(result -> picture(Charts.outcomesOverTime(result), "requests a second"))
            .collect(Collectors.joining());
    return outcomes + picture(Charts.firstFrameOverTime(results), "time to first frame");
  }

  private static String picture(String dataUrl, String alt) {
    return "<p><img alt=\"%s\" src=\"%s\"></p>\n".formatted(alt, dataUrl);
  }

  private static long count(LoadResult.Part part, Outcome outcome) {
    return part.outcomes().getOrDefault(outcome, 0L);
  }

  private static String cell(long value) {
    return "<td>%d</td>".formatted(value);
  }

  private static String millis(double value) {
    return String.format(Locale.ROOT, "<td>%.1f</td>", value);
  }

  private static String escape(String text) {
    return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
  }
}
