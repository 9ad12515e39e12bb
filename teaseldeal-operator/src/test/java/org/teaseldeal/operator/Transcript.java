package org.teaseldeal.operator;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.approvaltests.Approvals;
import org.teaseldeal.cli.ExitStatus;
import org.teaseldeal.net.HttpClient;
import org.teaseldeal.net.HttpClientConfig;
import org.teaseldeal.operator.command.CommandContext;

/** Runs command lines in this process and records their output as an operator sees it. */
final class Transcript implements AutoCloseable {
  private final HttpClient http = new HttpClient(HttpClientConfig.defaults());
  private final SplittableRandom random = new SplittableRandom(4711);
  private final Map<String, String> environment = new HashMap<>(Map.of("USER", "anna"));
  private final Map<String, String> replacements = new LinkedHashMap<>();
  private final StringBuilder output = new StringBuilder();

  /** Sets an environment variable. */
  Transcript setVariable(String variable, String value) {
    environment.put(variable, value);
    return this;
  }

  /**
   * Replaces {@code text}, which differs from run to run, by {@code replacement} in the transcript.
   */
  Transcript replace(String text, String replacement) {
    replacements.put(text, replacement);
    return this;
  }

  /** Runs one command line and appends it, its output and its exit status to the transcript. */
  ExitStatus run(String... arguments) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    ByteArrayOutputStream err = new ByteArrayOutputStream();
    PrintStream errStream = new PrintStream(err, true, StandardCharsets.UTF_8);
    CommandContext context =
        new CommandContext(environment, InstantSource.system(), random, http, errStream::println);
    CommandRunner operator =
        new CommandRunner(context, new PrintStream(out, true, StandardCharsets.UTF_8), errStream);
    ExitStatus status = operator.run(arguments);
    output.append("$ teaseldeal-operator ").append(String.join(" ", arguments)).append('\n');
    output.append(out.toString(StandardCharsets.UTF_8));
    err.toString(StandardCharsets.UTF_8)
        .lines()
        .forEach(line -> output.append("! ").append(line).append('\n'));
    output.append("[exit ").append(status.code()).append("]\n\n");
    return status;
  }

  /** Returns the transcript of all command lines so far, with the replacements applied. */
  String text() {
    String text = output.toString();
    for (Map.Entry<String, String> replacement : replacements.entrySet()) {
      text = text.replace(replacement.getKey(), replacement.getValue());
    }
    return text;
  }

  /** Compares the transcript with the approved one. */
  void verify() {
    Approvals.verify(text());
  }

  @Override
  public void close() {
    http.close();
  }
}
