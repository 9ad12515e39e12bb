package org.teaseldeal.operator.command;

import com.beust.jcommander.ParameterException;
import java.util.List;
import java.util.function.Function;

/** The arguments of a command that have no option's name, by position. */
final class PositionalArguments {
  private final List<String> values;

  private PositionalArguments(List<String> given) {
    this.values = given;
  }

  /** Checks that {@code given} has one argument for each name; names in brackets may be missing. */
  static PositionalArguments check(List<String> given, String... names) {
    for (String argument : given) {
      if (argument.startsWith("--")) {
        throw new ParameterException("option was '%s', expected a known one".formatted(argument));
      }
    }
    long required = List.of(names).stream().filter(name -> !name.startsWith("[")).count();
    if (given.size() < required || given.size() > names.length) {
      throw new ParameterException(
          "arguments were '%s', expected %s"
              .formatted(
                  String.join(" ", given), names.length == 0 ? "none" : String.join(" ", names)));
    }
    return new PositionalArguments(given);
  }

  boolean has(int position) {
    return position < values.size();
  }

  String text(int position) {
    return values.get(position);
  }

  /** The argument as a value whose constructor complains of what is wrong. */
  <T> T parse(int position, Function<String, T> constructor) {
    try {
      return constructor.apply(values.get(position));
    } catch (IllegalArgumentException e) {
      throw new ParameterException(e.getMessage());
    }
  }

  /** A number of tokens; underscores between digits are allowed, as in settings. */
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
