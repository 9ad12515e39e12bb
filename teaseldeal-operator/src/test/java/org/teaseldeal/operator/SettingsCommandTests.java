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
    // Anna publishes on the revision that she read; just before her append reaches the log, Boris's
    // does. The log's order decides: his is in force, hers is refused, and she is told by whom.
    @Test
    void laterAppendIsRefusedAndNamesWinner() {
      transcript.run("settings", "publish", "fleet", shortFile);
      platform.beforeNextAppend(() -> publish("operator-of-boris", 1, "boris", LONGER));

      assertEquals(ExitStatus.REFUSED, transcript.run("settings", "publish", "fleet", longFile));
      transcript.verify();
    }

    // The file was based on revision 1, and 2 came into force since. The operator must not undo
    // what she hasn't seen, so the publication is refused.
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
    // The log takes the record and the connection breaks before its answer. The command reads its
    // record back and reports it, and the repeat with which it asked changes nothing.
    @Test
    void areResolvedByReadingRecordBack() {
      platform.loseAnswers(1);

      assertEquals(
          ExitStatus.OK, transcript.run("settings", "publish", "fleet", shortFile, "--base", "0"));
      transcript.verify();
    }

    // The operator repeats a publication that had taken effect: the same text is in force, so
    // nothing is written and nobody is told of a race with herself.
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
    // One instance has folded the record, one hasn't, one refuses to say, one can't be asked and
    // one has joined but isn't listed yet: whoever isn't known to have it in force is named.
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

    // An instance that tells nobody how far it is writes a later record, which says that it had
    // folded the publication before.
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

    // Two instances are frozen: their connections open and nothing ever comes back. Both are asked
    // at once and given up after the same second, and the one that answers is still reported.
    @Test
    void frozenDoNotHideOthers() throws IOException {
      try (FakeInstance quick = new FakeInstance(100);
          FakeInstance frozen = new FakeInstance(100);
          FakeInstance frozenToo = new FakeInstance(100)) {
        frozen.freeze();
        frozenToo.freeze();
        platform.list("frozen", "run-frozen", frozen.address());
        platform.list("frozen-too", "run-frozen-too", frozenToo.address());
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

    // The log goes down between the reading and the append. It answers 503, which may also come
    // after a write took effect, so the command must not say that nothing was written.
    @Test
    void duringAppendReportUnknownOutcome() {
      platform.beforeNextAppend(() -> platform.logDown(true));
      platform.loseAnswers(1);

      assertEquals(
          ExitStatus.UNREACHABLE,
          transcript.run("settings", "publish", "fleet", shortFile, "--timeout", "400ms"));
      transcript.verify();
    }

    // Appends are refused for their rate for as long as the command tries: none of them was taken.
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
