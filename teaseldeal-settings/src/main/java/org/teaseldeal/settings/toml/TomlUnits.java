package org.teaseldeal.settings.toml;

import java.time.Duration;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses and formats durations such as {@code 500ms} and byte sizes such as {@code 64KiB}. */
public final class TomlUnits {
  private static final Pattern DURATION_PATTERN = Pattern.compile("([0-9]{1,9})(ms|s|m|h|d)");
  private static final Pattern BYTE_SIZE_PATTERN = Pattern.compile("([0-9]{1,9})(B|KiB|MiB|GiB)");

  private TomlUnits() {}

  /** Parses a whole number with the unit ms, s, m, h or d; empty if the text is not a duration. */
  public static Optional<Duration> parseDuration(String text) {
    Matcher matcher = DURATION_PATTERN.matcher(text);
    if (!matcher.matches()) {
      return Optional.empty();
    }
    long number = Long.parseLong(matcher.group(1));
    return Optional.of(
        switch (matcher.group(2)) {
          case "ms" -> Duration.ofMillis(number);
          case "s" -> Duration.ofSeconds(number);
          case "m" -> Duration.ofMinutes(number);
          case "h" -> Duration.ofHours(number);
          default -> Duration.ofDays(number);
        });
  }

  /**
   * Parses a whole number with the unit B, KiB, MiB or GiB; empty if the text is not a byte size.
   */
  public static Optional<Long> parseByteSize(String text) {
    Matcher matcher = BYTE_SIZE_PATTERN.matcher(text);
    if (!matcher.matches()) {
      return Optional.empty();
    }
    long number = Long.parseLong(matcher.group(1));
    return Optional.of(
        switch (matcher.group(2)) {
          case "B" -> number;
          case "KiB" -> number << 10;
          case "MiB" -> number << 20;
          default -> number << 30;
        });
  }

  /** Formats a duration in the largest unit in which it is a whole number. */
  public static String format(Duration duration) {
    long millis = duration.toMillis();
    if (millis == 0 || millis % 1_000 != 0) {
      return millis + "ms";
    }
    long seconds = millis / 1_000;
    if (seconds % 86_400 == 0) {
      return seconds / 86_400 + "d";
    }
    if (seconds % 3_600 == 0) {
      return seconds / 3_600 + "h";
    }
    return seconds % 60 == 0 ? seconds / 60 + "m" : seconds + "s";
  }

  /** Formats a byte size in the largest unit in which it is a whole number. */
  public static String formatBytes(long bytes) {
    if (bytes == 0 || bytes % 1_024 != 0) {
      return bytes + "B";
    }
    if (bytes % (1 << 30) == 0) {
      return (bytes >> 30) + "GiB";
    }
    return bytes % (1 << 20) == 0 ? (bytes >> 20) + "MiB" : (bytes >> 10) + "KiB";
  }
}
