package org.teaseldeal.settings.toml;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Function;
import org.teaseldeal.settings.SettingsParser.Parsed;
import org.teaseldeal.settings.SettingsProblem;
import org.tomlj.Toml;
import org.tomlj.TomlParseResult;

/**
 * Parses a complete TOML text into a typed value or a list of all its problems.
 *
 * <p>It never throws, whatever the text is, and its result depends only on the text.
 */
public final class TomlDocument {
  /**
   * The maximum length of a text in characters.
   *
   * <p>The parser's tree takes about a hundred times the memory of the text. A text four times as
   * long has exhausted a heap of 64 MiB; readers with larger heaps would have accepted it, so the
   * readers would have disagreed on the settings in force.
   */
  public static final int MAX_LENGTH = 1 << 16;

  /** The maximum number of problems reported for one text. */
  public static final int MAX_PROBLEMS = 100;

  /** The maximum number of open brackets at any place, and of dots on a line. */
  public static final int MAX_DEPTH = 32;

  private static final Comparator<SettingsProblem> LINE_ORDER =
      Comparator.comparingInt(SettingsProblem::line)
          .thenComparing(SettingsProblem::path)
          .thenComparing(SettingsProblem::message);

  private final List<SettingsProblem> problems = new ArrayList<>();

  private TomlDocument() {}

  /**
   * Parses {@code toml} with {@code body}, which has to call a getter of the reader for every key
   * that it supports.
   *
   * <p>The getters return a value in range even where the text is invalid, so that {@code body}
   * runs to its end and all problems are found in one pass.
   */
  public static <T> Parsed<T> read(String toml, Function<TomlReader, T> body) {
    TomlDocument document = new TomlDocument();
    return document.checkLimits(toml)
        ? document.parse(toml, body)
        : new Parsed.Invalid<>(document.problems);
  }

  void addProblem(SettingsProblem problem) {
    problems.add(problem);
  }

  private <T> Parsed<T> parse(String toml, Function<TomlReader, T> body) {
    TomlParseResult result;
    try {
      result = Toml.parse(toml);
    } catch (RuntimeException e) {
      return new Parsed.Invalid<>(
          List.of(new SettingsProblem("", 1, "not readable as TOML: " + e.getMessage())));
    }
    if (result.hasErrors()) {
      result.errors().forEach(error -> addProblem(syntaxProblem(error)));
      return invalidResult();
    }
    return evaluate(new TomlReader(this, result, "", 1), body);
  }

  private <T> Parsed<T> evaluate(TomlReader root, Function<TomlReader, T> body) {
    T value;
    try {
      value = body.apply(root);
    } catch (IllegalArgumentException e) {
      // The constructor of a settings record rejected a combination of several keys, which the
      // getters cannot check. If a getter has already reported a problem, the constructor only saw
      // the substitute for the invalid value, so its message is dropped.
      if (problems.isEmpty()) {
        addProblem(new SettingsProblem("", 1, String.valueOf(e.getMessage())));
      }
      root.reportUnknownKeys();
      return invalidResult();
    }
    root.reportUnknownKeys();
    return problems.isEmpty() ? new Parsed.Valid<>(value) : invalidResult();
  }

  private <T> Parsed<T> invalidResult() {
    problems.sort(LINE_ORDER);
    return new Parsed.Invalid<>(problems.subList(0, Math.min(problems.size(), MAX_PROBLEMS)));
  }

  private static SettingsProblem syntaxProblem(org.tomlj.TomlParseError error) {
    return new SettingsProblem("", error.position().line(), String.valueOf(error.getMessage()));
  }

  /**
   * Rejects texts that could overflow the stack of the recursive parser.
   *
   * <p>Without this check the result for a deeply nested text would depend on the thread's stack
   * size, so two readers of the same record could disagree on the settings in force. Brackets
   * inside strings count too: the check may reject more than necessary, but in the same way for
   * every reader.
   */
  private boolean checkLimits(String toml) {
    if (toml.length() > MAX_LENGTH) {
      addProblem(
          new SettingsProblem(
              "",
              1,
              "was %d characters long, expected at most %d".formatted(toml.length(), MAX_LENGTH)));
      return false;
    }
    int line = 1;
    int openBrackets = 0;
    int dots = 0;
    for (int i = 0; i < toml.length(); i++) {
      switch (toml.charAt(i)) {
        case '[', '{' -> openBrackets++;
        case ']', '}' -> openBrackets = Math.max(0, openBrackets - 1);
        case '.' -> dots++;
        case '\n' -> {
          line++;
          dots = 0;
        }
        default -> {}
      }
      if (openBrackets > MAX_DEPTH || dots > MAX_DEPTH) {
        String excess = openBrackets > MAX_DEPTH ? "brackets are open" : "dots stand on the line";
        addProblem(
            new SettingsProblem(
                "", line, "more than %d %s, expected fewer".formatted(MAX_DEPTH, excess)));
        return false;
      }
    }
    return true;
  }
}
