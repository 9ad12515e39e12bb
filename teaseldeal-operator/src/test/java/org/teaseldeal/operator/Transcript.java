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

/** Runs command lines in this process and writes down what an operator sees. */
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

  /** Writes {@code name} wherever {@code text}, which differs from run to run, is seen. */
  Transcript replace(String text, String name) {
    replacements.put(text, name);
    return this;
  }

  /** Runs one command line. */
  ExitStatus run(String... arguments) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    ByteArrayOutputStream err = new ByteArrayOutputStream();
    PrintStream errStream = new PrintStream(err, true, StandardCharsets.UTF_8);
    CommandContext context =
        new CommandContext(environment, InstantSource.system(), random, http, errStream::println);
    CommandRunner operator =
        new CommandRunner(context, new PrintStream(out, true, StandardCharsets.UTF_8), errStream);
    ExitStatus code = operator.run(arguments);
    output.append("$ teaseldeal-operator ").append(String.join(" ", arguments)).append('\n');
    output.append(out.toString(StandardCharsets.UTF_8));
    err.toString(StandardCharsets.UTF_8)
        .lines()
        .forEach(line -> output.append("! ").append(line).append('\n'));
    output.append("[exit ").append(code.code()).append("]\n\n");
    return code;
  }

  /** What was seen so far. */
  String text() {
    String text = output.toString();
    for (Map.Entry<String, String> name : replacements.entrySet()) {
      text = text.replace(name.getKey(), name.getValue());
    }
    return text;
  }

  /** Compares what was seen with what was approved. */
  void verify() {
    Approvals.verify(text());
  }

  @Override
  public void close() {
    http.close();
  }
}
