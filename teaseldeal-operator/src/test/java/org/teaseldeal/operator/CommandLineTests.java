package org.teaseldeal.operator;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.teaseldeal.cli.ExitStatus;
import org.teaseldeal.cli.Program;

class CommandLineTests {
  private final Transcript transcript = new Transcript();

  @AfterEach
  void close() {
    transcript.close();
  }

  @Test
  void printsHelpAndVersion() {
    transcript.replace(Program.version(), "VERSION");
    transcript.run("--help");
    transcript.run("--version");

    transcript.verify();
  }

  @Test
  void printsHelpOfEachCommand() {
    for (String command :
        new String[] {
          "settings check",
          "settings publish",
          "settings show",
          "settings history",
          "settings diff",
          "budget create",
          "budget top-up",
          "budget show",
          "lease show",
          "lease release",
          "instances",
          "dump",
          "drain",
          "explain"
        }) {
      transcript.run((command + " --help").split(" "));
    }

    transcript.verify();
  }

  @Test
  void rejectsInvalidCommandLines() {
    transcript.run();
    transcript.run("settings");
    transcript.run("frobnicate", "--json");
    transcript.run("budget", "show", "--frobnicate");
    transcript.run("budget", "show");
    transcript.run("budget", "top-up", "auction", "--platform", "127.0.0.1:1");
    transcript.run("budget", "top-up", "auction", "-5", "--platform", "127.0.0.1:1");
    transcript.run("budget", "top-up", "auction", "1e6", "--platform", "127.0.0.1:1");
    transcript.run("budget", "create", "Auction", "5", "--platform", "127.0.0.1:1");
    transcript.run("budget", "show", "--platform", "127.0.0.1:1", "--timeout", "4 s");
    transcript.run("budget", "show", "--platform", "127.0.0.1:1", "--streams", "0");
    transcript.run("settings", "show", "teams/auction", "--platform", "127.0.0.1:1");
    transcript.run("settings", "check", "fleet");
    transcript.run("dump");
    transcript.run("dump", "127.0.0.1:1", "--admin-token-file", "/nonexistent");

    transcript.verify();
  }

  @Test
  void checksSettingsFileWithoutPlatform(@TempDir Path directory) throws IOException {
    Path good = Files.writeString(directory.resolve("good.toml"), "[lease]\nhorizon = \"5m\"\n");
    Path bad =
        Files.writeString(directory.resolve("bad.toml"), "[lease]\nhorizon = 5\nmax_part = 0.1\n");
    transcript.replace(directory.toString(), "DIR");

    assertEquals(ExitStatus.OK, transcript.run("settings", "check", "fleet", good.toString()));
    assertEquals(
        ExitStatus.WRONG_FILE, transcript.run("settings", "check", "fleet", bad.toString()));
    transcript.run("settings", "check", "fleet", bad.toString(), "--json");
    transcript.run("settings", "check", "fleet", directory.resolve("none.toml").toString());

    transcript.verify();
  }
}
