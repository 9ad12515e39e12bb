package org.teaseldeal.operator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.teaseldeal.cli.ExitStatus;
import org.teaseldeal.operator.losses.LossCounter;
import org.teaseldeal.operator.losses.LossDimension;
import org.teaseldeal.operator.losses.LossReport;
import org.teaseldeal.operator.losses.OwedRequests;

class LossesCommandTests {
  private static final String STARTING = "0.0|InstanceState|'state':'starting','detail':'hall-a'";

  private final Transcript transcript = new Transcript();

  @TempDir private Path directory;

  @AfterEach
  void close() {
    transcript.close();
  }

  /**
   * Each case has an expected cause, the events of a request separated by semicolons, and the
   * outcome and status with which the request ends.
   */
  @ParameterizedTest(name = "{0}")
  @CsvSource(
      delimiter = '#',
      value = {
        "waited-for-tokens # late(900,905,950) # answered 200",
        "queued-at-server # late(0,5,950) # answered 200",
        "waited-for-server # late(0,900,950) # answered 200",
        "server-failed # 1.0|AttemptFailed|'request':'r','failure':'MAY_HAVE_RUN'; late(0,900,950) #"
            + " answered 200",
        "server-failed # # answered 500",
        "server-failed # # backend-failed 502",
        "prompt-read-again # placed(30000); late(0,5,750) # answered 200",
        "loop-stalled # 1.5|LoopStalled|'late_ms':400.0; late(0,5,600) # answered 200",
        "refused-total-used-up # # budget-exhausted 402",
        "refused-tokens-elsewhere # # no-lease 503",
        "refused-tokens-held # 1.0|AccountLevel|'customer':'c','lostByAll':7 # no-lease 503",
        "holder-unreachable # 1.5|HolderUnreachable|'customer':'c','holder':'b','detail':'' #"
            + " no-lease 503",
        "store-away # 1.0|Dependency|'name':'store','reachable':false # no-lease 503",
        "no-server # # no-backend-server 503",
        "cut # 1.0|Dependency|'name':'store','reachable':false;"
            + "1.0|Dependency|'name':'list','reachable':false # no-backend-server 503",
        "waited-for-server # # overloaded 429",
        "queued-at-server # # deadline-passed 504",
        "instance-stopping # 1.0|InstanceState|'state':'draining','detail':'' # draining 503",
        "plan-not-there # # not-ready 503",
        "limit # # quarantined 422",
        "caller-left # # caller-gone 0",
      })
  void attributesLossToCause(String cause, String events, String end) throws IOException {
    String[] outcome = end.split(" ");
    write(
        "a.log",
        STARTING
            + ";"
            + (events == null ? "" : events)
            + ";2.0|RequestEnded|"
            + "'request':'r','customer':'c','outcome':'%s','status':%s"
                .formatted(outcome[0], outcome[1])
            + ",'took_ms':1000.0,'kind':'stream','aim_ms':400.0,'fingerprint':'f'");
    assertEquals(List.of(cause), causes(count(LossDimension.KIND)));
  }

  /**
   * A killed process logs no end of its open requests. They must be counted as lost when the next
   * process of the instance starts.
   */
  @Test
  void countsRequestsOpenWhenProcessEnded() throws IOException {
    write(
        "a.log",
        STARTING + ";1.0|Placed|'request':'r','fingerprint':'f';3.0" + STARTING.substring(3));
    assertEquals(List.of("instance-ended"), causes(count(LossDimension.KIND)));
  }

  /**
   * A caller that was refused by one instance and retried at another was answered there, so nothing
   * is lost.
   */
  @Test
  void countsRetriedRequestOnce() throws IOException {
    write(
        "a.log",
        "2.0|RequestEnded|'request':'r','outcome':'draining','status':503,'fingerprint':'f'");
    write(
        "b.log",
        "2.5|RequestEnded|'request':'s','outcome':'answered','status':200,'fingerprint':'f'");
    LossReport report = count(LossDimension.KIND);
    assertEquals(List.of(), causes(report));
    assertEquals(1, report.answeredInTime());
  }

  /**
   * Requests that callers report as lost but no instance logged must form a row of their own, so
   * that the rows add up to the owed requests.
   */
  @Test
  void addsRowForOwedRequestsMissingFromLogs() throws IOException {
    write(
        "a.log",
        "2.0|RequestEnded|'request':'r','outcome':'draining','status':503,'fingerprint':'f'");
    Files.writeString(
        directory.resolve("owed.json"),
        """
        {"kinds":[{"kind":"stream 400 ms","name":"draft","requests":10,"in_time":7,"worth":2.0,"late_worth":0.5}]}
        """);
    LossReport report =
        LossCounter.of(
            List.of(directory.resolve("a.log").toString()),
            InputStream.nullInputStream(),
            OwedRequests.read(directory.resolve("owed.json").toString()),
            LossDimension.KIND);
    assertEquals(3, report.rows().stream().mapToLong(row -> row.all().requests()).sum());
    assertTrue(causes(report).contains("not-seen"), causes(report).toString());
  }

  /**
   * The latency target of a route may be lower than that of its callers, to leave time for the
   * network. Such requests must still be matched to their kind, or their worth would not be
   * counted.
   */
  @Test
  void matchesOwedKindWithNearestLatencyTarget() throws IOException {
    write("a.log", "2.0|RequestEnded|" + ended("r", "draining"));
    Files.writeString(
        directory.resolve("owed.json"),
        """
        {"kinds":[
          {"kind":"stream 390 ms","name":"draft","requests":1,"in_time":0,"worth":2.0,"late_worth":0},
          {"kind":"stream 800 ms","name":"review","requests":0,"in_time":0,"worth":9.0,"late_worth":0},
          {"kind":"idempotent 400 ms","name":"read","requests":0,"in_time":0,"worth":9.0,"late_worth":0}]}
        """);
    LossReport report =
        LossCounter.of(
            List.of(directory.resolve("a.log").toString()),
            InputStream.nullInputStream(),
            OwedRequests.read(directory.resolve("owed.json").toString()),
            LossDimension.KIND);
    assertEquals(2.0, report.rows().getFirst().all().worth());
    assertEquals(Set.of("draft"), report.rows().getFirst().cells().keySet());
  }

  @Test
  void printsTableDifferenceAndPlot() throws IOException {
    Path now = Files.createDirectory(directory.resolve("now"));
    Path before = Files.createDirectory(directory.resolve("before"));
    write("now/a.log", STARTING + ";2.0|RequestEnded|" + ended("r", "draining") + ";{'time'");
    write(
        "before/a.log",
        STARTING
            + ";2.0|RequestEnded|"
            + ended("r", "no-lease")
            + ";2.1|RequestEnded|"
            + ended("s", "draining"));
    transcript.replace(directory.toString(), "LOGS");
    transcript.run("losses", now.toString(), "--plot", directory.resolve("plot.svg").toString());
    transcript.run("losses", now.toString(), "--by", "second");
    transcript.run("losses", now.toString(), "--against", before.toString());
    transcript.run("losses", now.toString(), "--json");
    transcript.verify();
    assertTrue(Files.readString(directory.resolve("plot.svg")).contains("<svg"));
  }

  @Test
  void reportsUnreadableInput() throws IOException {
    write("a.log", "");
    Files.writeString(directory.resolve("owed.json"), "{\"kinds\":[{\"kind\":\"stream\"}]}");
    transcript.replace(directory.toString(), "LOGS");
    String log = directory.resolve("a.log").toString();
    assertEquals(ExitStatus.WRONG_COMMAND_LINE, transcript.run("losses", log));
    transcript.run("losses");
    transcript.run("losses", directory.resolve("missing.log").toString());
    transcript.run("losses", log, "--owed", directory.resolve("owed.json").toString());
    transcript.run("losses", log, "--by", "colour");
    transcript.verify();
  }

  private static String ended(String request, String outcome) {
    return "'request':'%s','customer':'c','outcome':'%s','status':503,'took_ms':1.0,'kind':'stream','aim_ms':400.0,'fingerprint':'f-%s'"
        .formatted(request, outcome, request);
  }

  private LossReport count(LossDimension by) throws IOException {
    return LossCounter.of(
        List.of(directory.toString()), InputStream.nullInputStream(), OwedRequests.UNKNOWN, by);
  }

  private static List<String> causes(LossReport report) {
    return report.rows().stream().map(LossReport.Row::cause).collect(Collectors.toList());
  }

  /**
   * Writes a log file with events of the form {@code seconds|event|fields}, in which apostrophes
   * stand for double quotes.
   */
  private void write(String file, String events) throws IOException {
    StringBuilder text = new StringBuilder();
    for (String event : events.split(";")) {
      String line = expanded(event.strip());
      String[] parts = line.split("\\|", 3);
      text.append(
          parts.length < 3
              ? line
              : "%s front-a {\"time\":\"2026-03-01T10:00:00Z\",\"instance\":\"a\",\"event\":\"%s\",%s}"
                  .formatted(parts[0], parts[1], parts[2]));
      text.append('\n');
    }
    Files.writeString(directory.resolve(file), text.toString().replace('\'', '"'));
  }

  private static String expanded(String event) {
    if (event.startsWith("late(")) {
      String[] millis = event.substring(5, event.length() - 1).split(",");
      return "1.9|AnsweredLate|'request':'r','waited_ms':%s.0,'placed_ms':%s.0,'began_ms':%s.0"
          .formatted(millis[0], millis[1], millis[2]);
    }
    if (event.startsWith("placed(")) {
      return "1.1|Placed|'request':'r','fingerprint':'f','readAgain':%s,'heardAgo_ms':40.0"
          .formatted(event.substring(7, event.length() - 1));
    }
    return event;
  }
}
