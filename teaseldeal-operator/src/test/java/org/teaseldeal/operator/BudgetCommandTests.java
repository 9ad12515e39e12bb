package org.teaseldeal.operator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.teaseldeal.cli.ExitStatus;
import org.teaseldeal.operator.fake.FakePlatform;

class BudgetCommandTests {
  private final FakePlatform platform = new FakePlatform();
  private final Transcript transcript =
      new Transcript()
          .setVariable("TEASELDEAL_PLATFORM", platform.address())
          .replace(platform.address(), "PLATFORM");

  BudgetCommandTests() throws IOException {}

  @AfterEach
  void close() {
    transcript.close();
    platform.close();
  }

  @Test
  void createsTopsUpAndShowsBudgets() {
    transcript.run("budget", "create", "auction", "1_000_000");
    transcript.run("budget", "create", "auction/bids", "5000", "--author", "boris", "--json");
    transcript.run("budget", "top-up", "auction/bids", "500");
    transcript.run("budget", "create", "brokers", "70");
    transcript.run("budget", "show");
    transcript.run("budget", "show", "auction", "--json");
    transcript.run("budget", "show", "nobody");
    transcript.run("budget", "create", "auction", "5");
    transcript.run("budget", "top-up", "nobody", "5");

    transcript.verify();
  }

  // The log stores the record, but the response to the append is lost. The command must read the
  // record back and report it as written; a second copy of the record, appended by a retry, must
  // not add tokens again.
  @Test
  void countsTopUpOnceWhenAppendResponseIsLost() {
    transcript.run("budget", "create", "auction", "100");
    platform.loseAnswers(1);

    assertEquals(ExitStatus.OK, transcript.run("budget", "top-up", "auction", "5"));
    transcript.run("budget", "show");
    transcript.verify();
  }

  // The log stores the record, loses the response and becomes unavailable, so the command reports
  // an unknown outcome and its operation id. When the operator repeats the command with this id, it
  // must report that the change was applied before and must not add tokens again.
  @Test
  void countsTopUpOnceWhenRepeatedWithSameOperationId() {
    transcript.run("budget", "create", "auction", "100");
    platform.beforeNextAppend(() -> platform.logDown(true));
    platform.loseAnswers(1);

    assertEquals(
        ExitStatus.UNREACHABLE,
        transcript.run(
            "budget", "top-up", "auction", "5", "--operation", "invoice-17", "--timeout", "400ms"));
    platform.logDown(false);
    assertEquals(
        ExitStatus.OK,
        transcript.run("budget", "top-up", "auction", "5", "--operation", "invoice-17"));
    transcript.run("budget", "show");
    transcript.verify();
  }

  // The log has more records than can be read within the timeout, but each read returns some. The
  // command must continue to read while it receives new records; only a log that delivers nothing
  // new counts as an outage.
  @Test
  void keepsReadingLongLogWhileRecordsArrive() {
    for (int i = 0; i < 40; i++) {
      transcript.run("budget", "create", "team-" + i, "5");
    }
    platform.readSlowly(Duration.ofMillis(50), 4);

    assertEquals(
        ExitStatus.OK, transcript.run("budget", "top-up", "team-39", "1", "--timeout", "300ms"));
    assertEquals(
        ExitStatus.OK, transcript.run("settings", "history", "fleet", "--timeout", "300ms"));
  }

  // Each read returns new records of another writer, but the log refuses every append of this
  // command. New records of other writers must not extend the timeout of the write, or the command
  // would retry forever.
  @Test
  void stopsAppendingAtTimeoutWhileOtherWritersProgress() {
    platform.appendBeforeEachRead();
    platform.refuseAppends(1_000);

    assertEquals(
        ExitStatus.UNREACHABLE,
        transcript.run("budget", "create", "auction", "5", "--timeout", "300ms"));
    assertTrue(transcript.text().contains("nothing was written"), transcript.text());
  }

  // The records that created the budgets have expired and the log contains no snapshot of them. The
  // command must fail instead of showing a state derived from a part of the log.
  @Test
  void refusesToShowBudgetsWhenEarlyRecordsHaveExpired() {
    transcript.run("budget", "create", "auction", "100");
    transcript.run("budget", "create", "brokers", "100");
    platform.expireBefore(1);

    assertEquals(
        ExitStatus.UNREACHABLE, transcript.run("budget", "show", "--timeout", "300ms", "--json"));
    assertTrue(transcript.text().contains("no whole snapshot"), transcript.text());
  }
}
