package org.teaseldeal.operator.command;

import com.beust.jcommander.ParameterException;
import java.util.List;
import java.util.function.Function;

/** The positional arguments of a command. */
final class PositionalArguments {
  private final List<String> values;

  private PositionalArguments(List<String> positional) {
    this.values = positional;
  }

  /**
   * Checks that {@code positional} has one argument for each name; arguments whose names are in
   * brackets are optional.
   */
  static PositionalArguments check(List<String> positional, String... names) {
    for (String argument : positional) {
      if (argument.startsWith("--")) {
        throw new ParameterException("unknown option '%s'".formatted(argument));
      }
    }
    long required = List.of(names).stream().filter(name -> !name.startsWith("[")).count();
    if (positional.size() < required || positional.size() > names.length) {
      throw new ParameterException(
          "arguments were '%s', expected %s"
              .formatted(
                  String.join(" ", positional),
                  names.length == 0 ? "none" : String.join(" ", names)));
    }
    return new PositionalArguments(positional);
  }

  boolean has(int position) {
    return position < values.size();
  }

  String text(int position) {
    return values.get(position);
  }

  /**
   * Converts an argument with a constructor that throws an {@link IllegalArgumentException} for an
   * invalid value.
   */
  <T> T parse(int position, Function<String, T> constructor) {
    try {
      return constructor.apply(values.get(position));
    } catch (IllegalArgumentException e) {
      throw new ParameterException(e.getMessage());
    }
  }

  /** Parses a number of tokens; underscores between digits are allowed, as in settings files. */
  long tokens(int position) {
    String text = values.get(position).replace("_", "");
    if (!text.matches("[1-9][0-9]{0,17}")) {
      throw new ParameterException(
          "tokens were '%s', expected a whole number greater than zero"
              .formatted(values.get(position)));
    }
    return Long.parseLong(text);
  }
}
