package org.teaseldeal.operator.explain;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;
import org.teaseldeal.operator.report.Report;

/**
 * Why a request ended as it did.
 *
 * @param cause the explanation, in one sentence
 * @param beliefs the last events, before the request ended, that show the state on which its
 *     instance based its decisions
 * @param began the events of the attempt that began the stream which the request takes up
 * @param events the events of the request itself
 * @param unreadableLines the number of lines in the files that could not be parsed and might
 *     contain further events
 */
public record Explanation(
    String request,
    String instance,
    String cause,
    List<String> beliefs,
    @JsonInclude(JsonInclude.Include.NON_EMPTY) List<String> began,
    List<String> events,
    int unreadableLines)
    implements Report {
  static Explanation of(String request, RequestHistory history, int unreadableLines) {
    return new Explanation(
        request,
        history.end().instance(),
        Cause.of(history),
        history.knownState().stream().map(Explanation::timed).toList(),
        history.resumed().stream().map(Explanation::timed).toList(),
        history.lines().stream().map(Explanation::timed).toList(),
        unreadableLines);
  }

  private static String timed(EventLine line) {
    return "%s %s %s".formatted(line.time(), line.instance(), line.summary());
  }

  @Override
  public String text() {
    StringBuilder text = new StringBuilder();
    text.append(request).append(" at ").append(instance).append(": ").append(cause);
    text.append("\n\nState known to the instance:");
    beliefs.forEach(line -> text.append("\n  ").append(line));
    if (!began.isEmpty()) {
      text.append("\n\nEvents of the attempt that began its stream:");
      began.forEach(line -> text.append("\n  ").append(line));
    }
    text.append("\n\nEvents of the request:");
    events.forEach(line -> text.append("\n  ").append(line));
    if (unreadableLines > 0) {
      text.append("\n\n%d lines could not be read.".formatted(unreadableLines));
    }
    return text.toString();
  }
}
