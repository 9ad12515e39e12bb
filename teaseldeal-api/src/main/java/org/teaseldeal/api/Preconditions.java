package org.teaseldeal.api;

import java.util.regex.Pattern;

/**
 * Checks constructor and method arguments.
 *
 * <p>Every message names the argument and says which value was given and what was expected.
 */
public final class Preconditions {
  private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9._-]{0,62}");

  private Preconditions() {}

  /**
   * Returns {@code value} if it is a name of at most 63 lower-case letters, digits, dots,
   * underscores and hyphens, and throws an {@link IllegalArgumentException} otherwise.
   */
  public static String requireName(String value, String argument) {
    if (!NAME.matcher(value).matches()) {
      throw new IllegalArgumentException(
          "%s was '%s', expected a name matching %s".formatted(argument, value, NAME.pattern()));
    }
    return value;
  }

  /**
   * Returns {@code value} if it is not blank, and throws an {@link IllegalArgumentException}
   * otherwise.
   */
  public static String requireText(String value, String argument) {
    if (value.isBlank()) {
      throw new IllegalArgumentException(
          "%s was '%s', expected text that is not blank".formatted(argument, value));
    }
    return value;
  }

  /**
   * Returns {@code value} if it is zero or more, and throws an {@link IllegalArgumentException}
   * otherwise.
   */
  public static long requireNotNegative(long value, String argument) {
    if (value < 0) {
      throw new IllegalArgumentException(
          "%s was %d, expected zero or more".formatted(argument, value));
    }
    return value;
  }

  /**
   * Returns {@code value} if it is greater than zero, and throws an {@link
   * IllegalArgumentException} otherwise.
   */
  public static long requirePositive(long value, String argument) {
    if (value <= 0) {
      throw new IllegalArgumentException(
          "%s was %d, expected greater than zero".formatted(argument, value));
    }
    return value;
  }

  /**
   * Throws an {@link IllegalArgumentException} with {@code message} unless {@code condition} holds.
   */
  public static void require(boolean condition, String message) {
    if (!condition) {
      throw new IllegalArgumentException(message);
    }
  }
}
