package org.teaseldeal.bench;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.teaseldeal.cli.ExitStatus;

/** Compares the help text and the error messages of the command line with the approved texts. */
class CommandLineTests {
  @TempDir private Path folder = Path.of("");

  private final ByteArrayOutputStream text = new ByteArrayOutputStream();

  private ExitStatus run(String... arguments) {
    PrintStream out = new PrintStream(text, true, StandardCharsets.UTF_8);
    return Main.program().run(out, out, arguments);
  }

  private void verify() {
    Approvals.verify(text.toString(StandardCharsets.UTF_8).replace(folder.toString(), "FOLDER"));
  }

  @Test
  void printsHelp() {
    assertEquals(ExitStatus.OK, run("--help"));
    verify();
  }

  @Test
  void refusesWhatItDoesNotUnderstand() throws IOException {
    Path scenario = folder.resolve("scenario.toml");
    Files.writeString(scenario, "name = \"x\"\nflows = 3\nspeed = 2\n");
    assertEquals(ExitStatus.WRONG_COMMAND_LINE, run());
    assertEquals(ExitStatus.WRONG_COMMAND_LINE, run("fly"));
    assertEquals(ExitStatus.WRONG_COMMAND_LINE, run("faults", "--fault", "rain"));
    assertEquals(ExitStatus.WRONG_COMMAND_LINE, run("faults", "--deployment", "mars"));
    assertEquals(
        ExitStatus.WRONG_COMMAND_LINE,
        run("load", "--scenario", scenario.toString(), "--target", "192.0.2.1:80"));
    assertEquals(
        ExitStatus.WRONG_FILE,
        run("load", "--scenario", scenario.toString(), "--target", "127.0.0.1:80"));
    assertEquals(
        ExitStatus.WRONG_FILE,
        run("report", folder.resolve("none.json").toString(), "--out", "x.html"));
    verify();
  }
}
