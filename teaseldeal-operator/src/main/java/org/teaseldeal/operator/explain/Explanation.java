package org.teaseldeal.operator.explain;

import java.util.List;
import org.teaseldeal.operator.report.Report;

/**
 * Why a request ended as it did.
 *
 * @param cause one sentence
 * @param beliefs what its instance last logged of what the request rested on
 * @param events of the request itself
 * @param unreadableLines in the files, which might hold more
 */
public record Explanation(
    String request,
    String instance,
    String cause,
    List<String> beliefs,
    List<String> events,
    int unreadableLines)
    implements Report {
  static Explanation of(String request, RequestHistory story, int unreadableLines) {
    return new Explanation(
        request,
        story.end().instance(),
        Cause.of(story),
        story.knownState().stream().map(Explanation::timed).toList(),
        story.lines().stream().map(Explanation::timed).toList(),
        unreadableLines);
  }

  private static String timed(EventLine line) {
    return "%s %s %s".formatted(line.time(), line.instance(), line.summary());
  }

  @Override
  public String text() {
    StringBuilder text = new StringBuilder();
    text.append(request).append(" at ").append(instance).append(": ").append(cause);
    text.append("\n\nWhat the instance believed:");
    beliefs.forEach(line -> text.append("\n  ").append(line));
    text.append("\n\nWhat became of the request:");
    events.forEach(line -> text.append("\n  ").append(line));
    if (unreadableLines > 0) {
      text.append("\n\n%d lines could not be read.".formatted(unreadableLines));
    }
    return text.toString();
  }
}
