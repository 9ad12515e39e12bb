package org.teaseldeal.operator;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.teaseldeal.api.DataCentre;
import org.teaseldeal.api.InstanceId;
import org.teaseldeal.api.ServiceId;
import org.teaseldeal.cli.ExitStatus;
import org.teaseldeal.ledger.AccountId;
import org.teaseldeal.ledger.entry.Entry;
import org.teaseldeal.operator.fake.FakePlatform;

class LeaseCommandTests {
  private static final ServiceId BIDS = ServiceId.parse("auction/bids");

  private final FakePlatform platform = new FakePlatform();
  private final Transcript transcript =
      new Transcript()
          .setVariable("TEASELDEAL_PLATFORM", platform.address())
          .replace(platform.address(), "PLATFORM");

  LeaseCommandTests() throws IOException {}

  @BeforeEach
  void leaseToTwoInstances() {
    platform.write("setup", new Entry.CreateBudget(AccountId.of(BIDS.team()), 1_000, "anna", "op"));
    lease("a", "run-a", 300);
    lease("b", "run-b", 200);
  }

  @AfterEach
  void close() {
    transcript.close();
    platform.close();
  }

  @Test
  void showsInstancesAndTheirLeases() {
    platform.list("a", "run-a", "127.0.0.1:7001");
    platform.list("c", "run-c", "");

    transcript.run("instances");
    transcript.run("instances", "--json");
    transcript.run("lease", "show");
    transcript.run("lease", "show", "run-b", "--json");

    transcript.verify();
  }

  // Instance b died while it held 200 tokens under its lease. It is unknown how many of them it
  // spent, so they can only be written off, and only if the platform no longer lists the instance
  // and the operator confirms that it is gone.
  @Test
  void writesOffLeasesOfDeadInstanceOnceConfirmed() {
    platform.list("a", "run-a", "");
    platform.list("b", "run-b", "");

    assertEquals(ExitStatus.REFUSED, transcript.run("lease", "release", "run-b", "--confirm-gone"));
    platform.unlist("b");
    assertEquals(ExitStatus.REFUSED, transcript.run("lease", "release", "run-b"));
    assertEquals(ExitStatus.OK, transcript.run("lease", "release", "run-b", "--confirm-gone"));
    transcript.run("budget", "show");
    transcript.run("lease", "show", "run-b");
    transcript.run("lease", "release", "run-b", "--confirm-gone", "--json");
    transcript.run("lease", "release", "run-x", "--confirm-gone");
    transcript.verify();
  }

  // The response to the retirement is lost and the log becomes unavailable. A repeat of the command
  // must find that the retirement has taken effect.
  @Test
  void retiresOnceWhenAppendResponseIsLost() {
    platform.beforeNextAppend(() -> platform.logDown(true));
    platform.loseAnswers(1);

    assertEquals(
        ExitStatus.UNREACHABLE,
        transcript.run("lease", "release", "run-b", "--confirm-gone", "--timeout", "400ms"));
    platform.logDown(false);
    assertEquals(ExitStatus.OK, transcript.run("lease", "release", "run-b", "--confirm-gone"));
    transcript.run("budget", "show");
    transcript.verify();
  }

  @Test
  void changesNothingWhilePlatformListIsUnreadable() {
    platform.listDown(true);

    assertEquals(
        ExitStatus.UNREACHABLE, transcript.run("lease", "release", "run-b", "--confirm-gone"));
    transcript.run("instances");
    transcript.verify();
  }

  private void lease(String instance, String incarnation, long tokens) {
    platform.write(
        incarnation,
        new Entry.Join(new InstanceId(instance), new DataCentre("hall-a"), "127.0.0.1:9"),
        new Entry.RequestLease(BIDS, tokens, tokens));
  }
}
