package org.teaseldeal.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.teaseldeal.cli.ExitStatus;

/**
 * Guards against a help text that lacks an option, and against wrong command lines or settings
 * files that start a stand-in all the same or that are reported without saying what is wrong.
 */
class MainTests {
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();

  @Nested
  class Help {
    @Test
    void listsCommandsAndExitStatuses() {
      assertEquals(ExitStatus.OK, run("--help"));
      Approvals.verify(text(out));
    }

    @Test
    void listsOptionsOfACommand() {
      assertEquals(ExitStatus.OK, run("engine", "--help"));
      Approvals.verify(text(out));
    }
  }

  @Nested
  class BadInput {
    @Test
    void unknownOptionIsRefused() {
      assertEquals(ExitStatus.WRONG_COMMAND_LINE, run("engine", "--sped", "3"));
      assertEquals(
          """
          teaseldeal-standin: Was passed main parameter '--sped' but no main parameter was defined \
          in your arg class
          Try: teaseldeal-standin --help
          """,
          text(err));
    }

    @Test
    void portOutOfRangeIsRefused() {
      assertEquals(ExitStatus.WRONG_COMMAND_LINE, run("platform", "--port", "70000"));
      assertEquals("teaseldeal-standin: port was 70000, expected 0 to 65535\n", text(err));
    }

    @Test
    void missingCommandIsRefused() {
      assertEquals(ExitStatus.WRONG_COMMAND_LINE, run());
      assertEquals(
          """
          teaseldeal-standin: no command given, expected one of engine, platform, service
          Try: teaseldeal-standin --help
          """,
          text(err));
    }

    @Test
    void allWrongSettingsAreReportedWithFileLineAndKey(@TempDir Path folder) throws IOException {
      Path file = folder.resolve("engine.toml");
      Files.writeString(
          file,
          """
          port = 70000
          load_lag = 5
          speed = 3
          [batch]
          max_running = "many"
          [faults]
          crash_mode = "explode"
          """);
      assertEquals(ExitStatus.WRONG_FILE, run("engine", "--settings", file.toString()));
      Approvals.verify(text(err).replace(folder.toString(), "FOLDER"));
    }

    @Test
    void unreadableSettingsAreReported() {
      assertEquals(ExitStatus.WRONG_FILE, run("platform", "--settings", "/no/such/file.toml"));
      assertEquals(
          "teaseldeal-standin: /no/such/file.toml: cannot be read:"
              + " java.nio.file.NoSuchFileException: /no/such/file.toml\n",
          text(err));
    }

    @Test
    void addressOfAnotherHostCannotBeListenedOn() {
      assertEquals(ExitStatus.UNREACHABLE, run("service", "--host", "192.0.2.1"));
    }
  }

  private ExitStatus run(String... args) {
    return Main.program().run(print(out), print(err), args);
  }

  private static PrintStream print(ByteArrayOutputStream bytes) {
    return new PrintStream(bytes, true, StandardCharsets.UTF_8);
  }

  private static String text(ByteArrayOutputStream bytes) {
    return bytes.toString(StandardCharsets.UTF_8);
  }
}
