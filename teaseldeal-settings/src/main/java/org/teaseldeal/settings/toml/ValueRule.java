package org.teaseldeal.settings.toml;

import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Function;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.teaseldeal.api.Preconditions;
import org.tomlj.TomlArray;
import org.tomlj.TomlTable;

/**
 * A rule for a value: a description for messages and a check.
 *
 * @param expected the description, which follows "expected" in a message
 * @param convert converts a raw value to the typed one; empty if it breaks the rule
 * @param secret whether an invalid value must not be quoted in a message
 */
record ValueRule<T>(String expected, Function<Object, Optional<T>> convert, boolean secret) {
  private static final Pattern SHA256 = Pattern.compile("[0-9a-f]{64}");
  private static final int MAX_QUOTED_LENGTH = 60;

  static final ValueRule<String> TEXT =
      new ValueRule<>("text", value -> asText(value).filter(text -> !text.isBlank()), false);

  static final ValueRule<String> NAME =
      new ValueRule<>(
          "a name of at most 63 lower-case letters, digits, dots, underscores and hyphens",
          value -> asText(value).filter(ValueRule::isName),
          false);

  /**
   * An invalid value is never quoted, as a user may enter the token itself in place of its hash.
   */
  static final ValueRule<String> SHA256_HEX =
      new ValueRule<>(
          "64 lower-case hexadecimal digits (a SHA-256)",
          value -> asText(value).filter(text -> SHA256.matcher(text).matches()),
          true);

  static final ValueRule<Boolean> BOOL =
      new ValueRule<>(
          "true or false",
          value -> value instanceof Boolean bool ? Optional.of(bool) : Optional.empty(),
          false);

  static ValueRule<Long> longInRange(long min, long max) {
    return new ValueRule<>(
        "a whole number from %d to %d".formatted(min, max),
        value ->
            value instanceof Long number && number >= min && number <= max
                ? Optional.of(number)
                : Optional.empty(),
        false);
  }

  static ValueRule<Double> doubleInRange(double min, double max) {
    return new ValueRule<>(
        "a number from %s to %s".formatted(min, max),
        value -> asNumber(value).filter(number -> number >= min && number <= max),
        false);
  }

  static ValueRule<Duration> duration(Duration min, Duration max) {
    return new ValueRule<>(
        "a duration from %s to %s, such as 500ms, 4s, 10m, 24h or 30d"
            .formatted(TomlUnits.format(min), TomlUnits.format(max)),
        value ->
            asText(value)
                .flatMap(TomlUnits::parseDuration)
                .filter(duration -> duration.compareTo(min) >= 0 && duration.compareTo(max) <= 0),
        false);
  }

  static ValueRule<Long> byteSize(long min, long max) {
    return new ValueRule<>(
        "a byte size from %s to %s, such as 512B, 64KiB or 8MiB"
            .formatted(TomlUnits.formatBytes(min), TomlUnits.formatBytes(max)),
        value ->
            asText(value)
                .flatMap(TomlUnits::parseByteSize)
                .filter(size -> size >= min && size <= max),
        false);
  }

  static <E extends Enum<E>> ValueRule<E> enumConstant(List<E> constants) {
    return new ValueRule<>(
        constants.stream()
            .map(constant -> "\"%s\"".formatted(label(constant)))
            .collect(Collectors.joining(" or ")),
        value -> constants.stream().filter(constant -> label(constant).equals(value)).findFirst(),
        false);
  }

  CheckedValue<T> check(Object value) {
    return convert
        .apply(value)
        .map(CheckedValue::valid)
        .orElseGet(
            () -> CheckedValue.invalid(secret ? describeSecret(value) : describe(value), expected));
  }

  static boolean isName(String text) {
    try {
      Preconditions.requireName(text, "name");
      return true;
    } catch (IllegalArgumentException e) {
      return false;
    }
  }

  /** Describes a value so that it fits on one line of a message. */
  static String describe(@Nullable Object value) {
    return switch (value) {
      case String text -> "\"%s\"".formatted(shorten(text));
      case Long number -> number.toString();
      case Double number -> number.toString();
      case Boolean bool -> bool.toString();
      case TomlArray array -> "a list";
      case TomlTable table -> "a table";
      case null -> "nothing";
      default -> "a date or time";
    };
  }

  static String shorten(String text) {
    String line = text.replaceAll("\\p{Cntrl}", "?");
    return line.length() <= MAX_QUOTED_LENGTH ? line : line.substring(0, MAX_QUOTED_LENGTH) + "…";
  }

  private static String describeSecret(Object value) {
    return value instanceof String text
        ? "text of %d characters".formatted(text.length())
        : "no text";
  }

  private static Optional<String> asText(Object value) {
    return value instanceof String text ? Optional.of(text) : Optional.empty();
  }

  private static Optional<Double> asNumber(Object value) {
    return value instanceof Long || value instanceof Double
        ? Optional.of(((Number) value).doubleValue())
        : Optional.empty();
  }

  private static String label(Enum<?> constant) {
    return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
