package org.teaseldeal.dist;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs the demo in the way that {@code bin/demo} starts it after the build. */
class DemoTests {
  // The demo kills a router under a mixed load and audits the log and the servers. The test guards
  // against a demo that no longer starts or whose audit fails.
  @Test
  void auditFindsNoProblem(@TempDir Path folder) throws Exception {
    Path output = folder.resolve("demo.out");
    Process demo =
        new ProcessBuilder(
                LaunchedProcess.command(
                    "teaseldeal-bench",
                    List.of("demo", "--launchers", LaunchedProcess.launchers().toString())))
            .redirectErrorStream(true)
            .redirectOutput(output.toFile())
            .start();
    try {
      assertTrue(demo.waitFor(2, TimeUnit.MINUTES), "the demo did not end");
      String text = Files.readString(output);
      assertEquals(0, demo.exitValue(), text);
      assertTrue(text.endsWith("\nEverything adds up.\n"), text);
    } finally {
      // On SIGTERM the demo kills its child processes.
      demo.destroy();
    }
  }
}
