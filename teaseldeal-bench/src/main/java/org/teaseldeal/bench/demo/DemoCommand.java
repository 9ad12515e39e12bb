package org.teaseldeal.bench.demo;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.stream.Stream;
import org.teaseldeal.cli.Command;
import org.teaseldeal.cli.CommandException;
import org.teaseldeal.cli.ExitStatus;
import org.teaseldeal.net.HttpClient;
import org.teaseldeal.net.HttpClientConfig;

/**
 * Starts a complete fleet on this host, sends a load, kills a router and checks that charges,
 * budgets and answers are consistent.
 */
@Parameters(commandDescription = "Start a fleet, send a load, kill a router and audit the outcome")
public final class DemoCommand extends Command {
  @Parameter(names = "--launchers", description = "Folder of the programs' launchers")
  private Path launchers = Path.of("bin");

  @Parameter(names = "--seed", description = "Seed of the requests' times")
  private long seed = 7;

  @Parameter(names = "--keep", description = "Keep the folder with settings, output and logs")
  private boolean keep;

  @Override
  protected ExitStatus run(PrintStream out, PrintStream err) throws CommandException {
    Path folder = createFolder();
    ChildProcesses children = new ChildProcesses(launchers.toAbsolutePath(), folder);
    // A signal ends the process without the finally block, so a hook ends the child processes.
    Thread hook = new Thread(children::close, "end-children");
    Runtime.getRuntime().addShutdownHook(hook);
    boolean holds = false;
    try (HttpClient client = new HttpClient(HttpClientConfig.defaults())) {
      holds = new Demo(out, seed, new SettingsFiles(folder), children, client).run();
      return holds ? ExitStatus.OK : ExitStatus.REFUSED;
    } catch (DemoException e) {
      throw new CommandException(ExitStatus.UNREACHABLE, String.valueOf(e.getMessage()));
    } catch (InterruptedException e) {
      throw new CommandException(ExitStatus.UNREACHABLE, "interrupted");
    } finally {
      children.close();
      if (holds && !keep) {
        delete(folder);
      } else {
        err.println("Settings and logs are in " + folder);
      }
    }
  }

  private static Path createFolder() throws CommandException {
    try {
      return Files.createTempDirectory("teaseldeal-demo");
    } catch (IOException e) {
      throw new CommandException(
          ExitStatus.WRONG_FILE, "could not create a folder for the demo: " + e);
    }
  }

  static void delete(Path folder) {
    try (Stream<Path> files = Files.walk(folder)) {
      files.sorted(Comparator.reverseOrder()).forEach(DemoCommand::deleteOne);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static void deleteOne(Path file) {
    try {
      Files.delete(file);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
