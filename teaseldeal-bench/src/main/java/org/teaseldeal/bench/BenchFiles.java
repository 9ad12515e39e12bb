package org.teaseldeal.bench;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.stream.Collectors;
import org.teaseldeal.bench.load.LoadResult;
import org.teaseldeal.bench.scenario.Scenario;
import org.teaseldeal.bench.scenario.ScenarioParser;
import org.teaseldeal.cli.CommandException;
import org.teaseldeal.cli.ExitStatus;
import org.teaseldeal.settings.SettingsParser.Parsed;

/** Reads and writes the bench's files. A file that is missing or invalid ends the command. */
final class BenchFiles {
  private static final ObjectMapper JSON =
      new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

  private BenchFiles() {}

  static Scenario scenario(Path file) throws CommandException {
    return switch (ScenarioParser.parse(text(file))) {
      case Parsed.Valid<Scenario> valid -> valid.settings();
      case Parsed.Invalid<Scenario> invalid ->
          throw new CommandException(
              ExitStatus.WRONG_FILE,
              invalid.problems().stream()
                  .map(problem -> file + ": " + problem)
                  .collect(Collectors.joining(System.lineSeparator())));
    };
  }

  static LoadResult result(Path file) throws CommandException {
    try {
      return JSON.readValue(text(file), LoadResult.class);
    } catch (IOException e) {
      throw new CommandException(
          ExitStatus.WRONG_FILE, "%s is not a load result: %s".formatted(file, e.getMessage()));
    }
  }

  static void write(Path file, LoadResult result) throws CommandException {
    try {
      write(file, JSON.writeValueAsString(result));
    } catch (IOException e) {
      throw new CommandException(ExitStatus.WRONG_FILE, "could not write " + file + ": " + e);
    }
  }

  static void write(Path file, String text) throws CommandException {
    try {
      Files.writeString(file, text);
    } catch (IOException e) {
      throw new CommandException(ExitStatus.WRONG_FILE, "could not write " + file + ": " + e);
    }
  }

  static String text(Path file) throws CommandException {
    try {
      return Files.readString(file, StandardCharsets.UTF_8);
    } catch (NoSuchFileException e) {
      throw new CommandException(ExitStatus.WRONG_FILE, "no such file: " + file);
    } catch (IOException e) {
      throw new CommandException(ExitStatus.WRONG_FILE, "could not read " + file + ": " + e);
    }
  }
}
