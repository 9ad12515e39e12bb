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

  // The record is on the log and its answer is lost. The command reads the record back, reports it
  // as written, and the copy that it may have appended meanwhile counts for nothing.
  @Test
  void countsTopUpOnceWhenAppendResponseIsLost() {
    transcript.run("budget", "create", "auction", "100");
    platform.loseAnswers(1);

    assertEquals(ExitStatus.OK, transcript.run("budget", "top-up", "auction", "5"));
    transcript.run("budget", "show");
    transcript.verify();
  }

  // The log takes the record, loses the answer and goes down, so the command can't tell and says
  // so, with its operation id. The operator repeats it under that id: it had been counted, the
  // repeat says so and adds nothing.
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

  // The log has more records than can be read within the timeout, and gives some with each answer.
  // It is reachable, so the command reads on; an outage is a log that gives nothing new.
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

  // The log gives new records with every read, but refuses every append of this writer. That others
  // get on is no reason to try for ever.
  @Test
  void stopsAppendingAtTimeoutWhileOtherWritersProgress() {
    platform.appendBeforeEachRead();
    platform.refuseAppends(1_000);

    assertEquals(
        ExitStatus.UNREACHABLE,
        transcript.run("budget", "create", "auction", "5", "--timeout", "300ms"));
    assertTrue(transcript.text().contains("nothing was written"), transcript.text());
  }

  // The records that created the budget have expired and no snapshot of them is on the log. The
  // command must not show a state that it can't know.
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
