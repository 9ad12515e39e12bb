package org.teaseldeal.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.teaseldeal.cli.ExitStatus;
import org.teaseldeal.core.part.PlacementChoice;
import org.teaseldeal.core.part.QueueChoice;
import org.teaseldeal.router.settings.RouterSettings;
import org.teaseldeal.router.settings.RouterSettingsFile;
import org.teaseldeal.settings.SettingsParser.Parsed;

class RouterCommandTests {
  private static final String VALID =
      """
      instance = "r1"
      data_centre = "hal-nord"
      platform = "127.0.0.1:1"
      [callers]
      host = "127.0.0.1"
      port = 0
      [peers]
      host = "127.0.0.1"
      port = 0
      [admin]
      host = "127.0.0.1"
      port = 0
      """;

  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();

  @TempDir Path folder = Path.of("");

  @Test
  void showsHelp() {
    assertEquals(ExitStatus.OK, run("--help"));
    Approvals.verify(text(out));
  }

  @Test
  void requiresASettingsFile() {
    assertEquals(ExitStatus.WRONG_COMMAND_LINE, run());
    assertEquals("teaseldeal-router: --settings is missing, expected a file\n", text(err));
  }

  @Test
  void refusesUnknownOptions() {
    assertEquals(ExitStatus.WRONG_COMMAND_LINE, run("--setings", "x"));
  }

  @Test
  void reportsAMissingFile() {
    assertEquals(ExitStatus.WRONG_FILE, run("--settings", "/nowhere/r1.toml"));
    assertEquals(
        "teaseldeal-router: /nowhere/r1.toml: cannot be read: "
            + "java.nio.file.NoSuchFileException: /nowhere/r1.toml\n",
        text(err));
  }

  @Test
  void checksAFileWithoutStarting() throws IOException {
    assertEquals(ExitStatus.OK, run("--settings", write(VALID), "--check"));
    assertEquals("FILE: ok\n", text(out));
  }

  @Test
  void acceptsTheBaselineDecisions() throws IOException {
    String toml = VALID + "[decisions]\nplacement = \"round-robin\"\nqueue = \"unbounded\"\n";
    var parsed = assertInstanceOf(Parsed.Valid.class, RouterSettingsFile.parse(toml));
    RouterSettings settings = (RouterSettings) parsed.settings();
    assertEquals(PlacementChoice.ROUND_ROBIN, settings.placement());
    assertEquals(QueueChoice.UNBOUNDED, settings.queue());
  }

  @Test
  void usesTheDefaultDecisionsIfNoneAreConfigured() {
    var parsed = assertInstanceOf(Parsed.Valid.class, RouterSettingsFile.parse(VALID));
    RouterSettings settings = (RouterSettings) parsed.settings();
    assertEquals(PlacementChoice.TWO_CHOICES, settings.placement());
    assertEquals(QueueChoice.FAIR, settings.queue());
  }

  @Test
  void reportsAllProblemsOfAFile() throws IOException {
    String toml =
        """
        instance = "R 1"
        data_center = "hal-nord"
        platform = "localhost:1"
        tick_interval = "5"
        streams = 0
        [callers]
        host = "0.0.0.0"
        port = 70000
        [peers]
        host = "example"
        [admin]
        host = "0.0.0.0"
        port = "1"
        [limits]
        body = "1MB"
        drain = 30
        """;
    assertEquals(ExitStatus.WRONG_FILE, run("--settings", write(toml), "--check"));
    Approvals.verify(text(err));
  }

  @Test
  void neverRepeatsTheTextGivenAsCredential() throws IOException {
    // Guards against a token in error messages: the operator may have entered the token itself in
    // place of its SHA-256.
    String toml = VALID + "credential_sha256 = \"my-secret-token\"\n";
    assertEquals(ExitStatus.WRONG_FILE, run("--settings", write(toml), "--check"));
    assertEquals(
        "teaseldeal-router: FILE: line 13: admin.credential_sha256: was text of 15 characters, "
            + "expected 64 lower-case hexadecimal digits (a SHA-256)\n",
        text(err));
  }

  @Test
  void reportsAnAddressInUse() throws IOException {
    try (ServerSocket occupied = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      String toml = VALID.replaceFirst("port = 0", "port = " + occupied.getLocalPort());
      assertEquals(ExitStatus.UNREACHABLE, run("--settings", write(toml)));
      assertEquals(
          "teaseldeal-router: cannot listen on 127.0.0.1:PORT: Address already in use\n",
          text(err).replace(Integer.toString(occupied.getLocalPort()), "PORT"));
    }
  }

  private String write(String toml) throws IOException {
    return Files.writeString(folder.resolve("r1.toml"), toml).toString();
  }

  private ExitStatus run(String... args) {
    return Main.program()
        .run(
            new PrintStream(out, true, StandardCharsets.UTF_8),
            new PrintStream(err, true, StandardCharsets.UTF_8),
            args);
  }

  private String text(ByteArrayOutputStream stream) {
    return stream
        .toString(StandardCharsets.UTF_8)
        .replace(folder.resolve("r1.toml").toString(), "FILE");
  }
}
