package org.teaseldeal.bench;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.teaseldeal.cli.ExitStatus;

class LoadCommandTests {
  private static final Path SCENARIOS = Path.of("..", "scenarios", "association");
  private static final String UNUSED_ADDRESS = "127.0.0.1:1";

  private final ByteArrayOutputStream err = new ByteArrayOutputStream();

  private ExitStatus load(String scenario, String... more) {
    String[] arguments = new String[more.length + 3];
    arguments[0] = "load";
    arguments[1] = "--scenario";
    arguments[2] = SCENARIOS.resolve(scenario).toString();
    System.arraycopy(more, 0, arguments, 3, more.length);
    PrintStream out = new PrintStream(new ByteArrayOutputStream(), true, StandardCharsets.UTF_8);
    PrintStream errors = new PrintStream(err, true, StandardCharsets.UTF_8);
    return Main.program().run(out, errors, arguments);
  }

  @Test
  void requiresEitherATargetOrAFleet() {
    assertEquals(ExitStatus.WRONG_COMMAND_LINE, load("burst.toml"));
    assertEquals(
        ExitStatus.WRONG_COMMAND_LINE,
        load("burst.toml", "--target", UNUSED_ADDRESS, "--fleet", "examples/association"));
    assertEquals(
        "teaseldeal-bench: expected either --target or --fleet\n".repeat(2),
        err.toString(StandardCharsets.UTF_8));
  }

  @Test
  void refusesAScenarioWithFaultsWithoutAFleet() {
    assertEquals(
        ExitStatus.WRONG_COMMAND_LINE, load("slow-engine.toml", "--target", UNUSED_ADDRESS));
    assertEquals(
        "teaseldeal-bench: the scenario sets faults, expected --fleet\n",
        err.toString(StandardCharsets.UTF_8));
  }
}
