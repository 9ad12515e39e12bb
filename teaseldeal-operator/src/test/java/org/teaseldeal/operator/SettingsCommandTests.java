package org.teaseldeal.operator;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.teaseldeal.api.DataCentre;
import org.teaseldeal.api.InstanceId;
import org.teaseldeal.cli.ExitStatus;
import org.teaseldeal.ledger.ClaimKey;
import org.teaseldeal.ledger.entry.Entry;
import org.teaseldeal.operator.fake.FakeInstance;
import org.teaseldeal.operator.fake.FakePlatform;
import org.teaseldeal.settings.SubtreeId;

class SettingsCommandTests {
  private static final String SHORT = "[lease]\nhorizon = \"5m\"\n";
  private static final String LONG = "[lease]\nhorizon = \"20m\"\nmax_share = 0.5\n";

  private static final String LONGER = "[lease]\nhorizon = \"1h\"\n";

  @TempDir private Path directory;
  private final Transcript transcript = new Transcript();
  private final FakePlatform platform = new FakePlatform();
  private String shortFile = "";
  private String longFile = "";

  SettingsCommandTests() throws IOException {}

  @BeforeEach
  void writeFiles() throws IOException {
    shortFile = Files.writeString(directory.resolve("short.toml"), SHORT).toString();
    longFile = Files.writeString(directory.resolve("long.toml"), LONG).toString();
    transcript
        .setVariable("TEASELDEAL_PLATFORM", platform.address())
        .setVariable("TEASELDEAL_ADMIN_TOKEN", FakeInstance.TOKEN)
        .replace(directory.toString(), "DIR")
        .replace(platform.address(), "PLATFORM");
  }

  @AfterEach
  void close() {
    transcript.close();
    platform.close();
  }

  @Test
  void publishesShowsAndComparesRevisions() {
    transcript.run("settings", "publish", "fleet", shortFile);
    transcript.run("settings", "publish", "fleet", longFile, "--author", "boris");
    transcript.run("settings", "show");
    transcript.run("settings", "show", "fleet");
    transcript.run("settings", "show", "fleet", "--json");
    transcript.run("settings", "show", "team/auction");
    transcript.run("settings", "history", "fleet");
    transcript.run("settings", "history", "fleet", "--json");
    transcript.run("settings", "diff", "fleet", shortFile);
    transcript.run("settings", "diff", "fleet", longFile);
    transcript.run("settings", "diff", "fleet", "--from", "1");
    transcript.run("settings", "diff", "fleet", "--from", "7", "--json");

    transcript.verify();
  }

  @Test
  void warnsOfServicesWithoutMatchingPool() throws IOException {
    Path team =
        Files.writeString(
            directory.resolve("team.toml"),
            """
            [services.drafts]
            kind = "model"
            pool = "language"
            max_output_tokens = 400
            [services.bids]
            kind = "plain"
            pool = "language"
            idempotent = false
            tokens_per_call = 1
            """);
    publish("setup", 0, "anna", "[pools.language]\nkind = \"model\"\n");

    transcript.run("settings", "publish", "team/auction", team.toString());
    transcript.run("settings", "publish", "team/auction", team.toString(), "--json");

    transcript.verify();
  }

  @Nested
  class ConcurrentPublications {
    // Anna and Boris publish on the same base revision, and Boris's record reaches the log first.
    // The order of the log decides: Boris's revision comes into force, and Anna's publication is
    // refused with a report that names Boris.
    @Test
    void laterAppendIsRefusedAndNamesWinner() {
      transcript.run("settings", "publish", "fleet", shortFile);
      platform.beforeNextAppend(() -> publish("operator-of-boris", 1, "boris", LONGER));

      assertEquals(ExitStatus.REFUSED, transcript.run("settings", "publish", "fleet", longFile));
      transcript.verify();
    }

    // The file is based on revision 1, but revision 2 has come into force since. The publication
    // must be refused, because it would undo changes that the operator has not seen.
    @Test
    void outdatedBaseRevisionIsRefused() {
      publish("operator-of-boris", 0, "boris", SHORT);
      publish("operator-of-carla", 1, "carla", LONG);

      assertEquals(
          ExitStatus.REFUSED,
          transcript.run("settings", "publish", "fleet", shortFile, "--base", "1", "--json"));
      transcript.verify();
    }
  }

  @Nested
  class LostAppendResponses {
    // The log stores the record, but the connection breaks before the response. The command must
    // read its record back and report it as accepted; the copy appended by its retry must change
    // nothing.
    @Test
    void areResolvedByReadingRecordBack() {
      platform.loseAnswers(1);

      assertEquals(
          ExitStatus.OK, transcript.run("settings", "publish", "fleet", shortFile, "--base", "0"));
      transcript.verify();
    }

    // The operator repeats a publication that had taken effect. The same text is already in force,
    // so nothing must be written and no conflict reported.
    @Test
    void allowRepeatingPublicationWithoutWritingAgain() {
      transcript.run("settings", "publish", "fleet", shortFile, "--base", "0");
      int written = platform.recordCount();

      assertEquals(
          ExitStatus.OK, transcript.run("settings", "publish", "fleet", shortFile, "--base", "0"));
      assertEquals(written, platform.recordCount());
      transcript.verify();
    }
  }

  @Nested
  class Instances {
    // One instance has folded the record, one has not, one has no admin address and one has joined
    // the ledger but is not listed yet. All instances at which the record is not known to be in
    // force must be named.
    @Test
    void laggingAreNamed() throws IOException {
      try (FakeInstance quick = new FakeInstance(100);
          FakeInstance slow = new FakeInstance(0)) {
        platform.write("run-new", join("new"));
        platform.list("quick", "run-quick", quick.address());
        platform.list("slow", "run-slow", slow.address());
        platform.list("silent", "run-silent", "");
        transcript.replace(quick.address(), "QUICK").replace(slow.address(), "SLOW");

        assertEquals(
            ExitStatus.INCOMPLETE,
            transcript.run("settings", "publish", "fleet", shortFile, "--wait", "300ms"));
        transcript.run("settings", "publish", "fleet", shortFile, "--wait", "0ms", "--json");
      }
      transcript.verify();
    }

    // An instance without an admin address writes a later record. The offset in that record proves
    // that the instance had folded the publication before.
    @Test
    void laterRecordsProveThatPublicationIsInForce() {
      platform.write("run-silent", join("silent"));
      platform.list("silent", "run-silent", "");
      transcript.run("settings", "publish", "fleet", shortFile, "--wait", "0ms");
      platform.write("run-silent", new Entry.ReleaseClaim(new ClaimKey("k")));

      assertEquals(
          ExitStatus.OK, transcript.run("settings", "publish", "fleet", shortFile, "--wait", "5s"));
      transcript.verify();
    }

    // Two instances are suspended: they accept connections but never respond. Both must be queried
    // concurrently and time out after the same second, and the instance that responds must still be
    // reported as up to date.
    @Test
    void suspendedDoNotHideOthers() throws IOException {
      try (FakeInstance quick = new FakeInstance(100);
          FakeInstance suspended = new FakeInstance(100);
          FakeInstance suspendedToo = new FakeInstance(100)) {
        suspended.suspend();
        suspendedToo.suspend();
        platform.list("frozen", "run-frozen", suspended.address());
        platform.list("frozen-too", "run-frozen-too", suspendedToo.address());
        platform.list("quick", "run-quick", quick.address());

        assertEquals(
            ExitStatus.INCOMPLETE,
            transcript.run("settings", "publish", "fleet", shortFile, "--wait", "0ms"));
      }
      transcript.verify();
    }

    @Test
    void refusingCredentialAreNamed() throws IOException {
      try (FakeInstance instance = new FakeInstance(100)) {
        platform.list("quick", "run-quick", instance.address());
        transcript
            .setVariable("TEASELDEAL_ADMIN_TOKEN", "guess")
            .replace(instance.address(), "ADMIN");

        assertEquals(
            ExitStatus.INCOMPLETE,
            transcript.run("settings", "publish", "fleet", shortFile, "--wait", "0ms"));
      }
      transcript.verify();
    }
  }

  @Nested
  class Outages {
    @Test
    void beforeReadReportNothingWritten() {
      platform.logDown(true);

      assertEquals(
          ExitStatus.UNREACHABLE,
          transcript.run("settings", "publish", "fleet", shortFile, "--timeout", "300ms"));
      transcript.verify();
    }

    // The log becomes unavailable between the read and the append and answers 503. A 503 may also
    // follow a write that took effect, so the command must not report that nothing was written.
    @Test
    void duringAppendReportUnknownOutcome() {
      platform.beforeNextAppend(() -> platform.logDown(true));
      platform.loseAnswers(1);

      assertEquals(
          ExitStatus.UNREACHABLE,
          transcript.run("settings", "publish", "fleet", shortFile, "--timeout", "400ms"));
      transcript.verify();
    }

    // Every append is refused with status 429 for the append rate until the timeout. A refused
    // append is never stored, so the command must report that nothing was published.
    @Test
    void ofAppendRateReportNothingWritten() {
      platform.refuseAppends(1_000);

      assertEquals(
          ExitStatus.UNREACHABLE,
          transcript.run("settings", "publish", "fleet", shortFile, "--timeout", "400ms"));
      transcript.verify();
    }

    @Test
    void ofPlatformListReportPublished() {
      platform.listDown(true);

      assertEquals(
          ExitStatus.INCOMPLETE,
          transcript.run("settings", "publish", "fleet", shortFile, "--wait", "0ms"));
      transcript.verify();
    }
  }

  private void publish(String writer, long base, String author, String toml) {
    platform.write(writer, new Entry.PublishSettings(SubtreeId.FLEET, base, author, toml));
  }

  private static Entry join(String instance) {
    return new Entry.Join(new InstanceId(instance), new DataCentre("hall-a"), "127.0.0.1:9");
  }
}
