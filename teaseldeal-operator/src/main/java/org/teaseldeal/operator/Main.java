package org.teaseldeal.operator;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.time.InstantSource;
import org.teaseldeal.cli.ExitStatus;
import org.teaseldeal.net.HttpClient;
import org.teaseldeal.net.HttpClientConfig;
import org.teaseldeal.operator.command.CommandContext;

/** The entry point of the operator's command line. */
public final class Main {
  /** All programs share one class path, so each program sets its own logging configuration file. */
  private static final String LOG_CONFIGURATION = "tinylog-operator.properties";

  private Main() {}

  /** Runs the command that {@code arguments} name and ends the process with its exit status. */
  public static void main(String[] arguments) {
    if (System.getProperty("tinylog.configuration") == null) {
      System.setProperty("tinylog.configuration", LOG_CONFIGURATION);
    }
    PrintStream out = new PrintStream(System.out, true, StandardCharsets.UTF_8);
    PrintStream err = new PrintStream(System.err, true, StandardCharsets.UTF_8);
    ExitStatus status;
    try (HttpClient http = new HttpClient(HttpClientConfig.defaults())) {
      CommandContext context =
          new CommandContext(
              System.getenv(), InstantSource.system(), new SecureRandom(), http, err::println);
      status = new CommandRunner(context, out, err).run(arguments);
    }
    System.exit(status.code());
  }
}
