package org.teaseldeal.settings.toml;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class TomlUnitsTests {
  @ParameterizedTest
  @ValueSource(strings = {"500ms", "4s", "10m", "25h", "30d"})
  void formatsDurationsAsParsed(String text) {
    assertEquals(Optional.of(text), TomlUnits.parseDuration(text).map(TomlUnits::format));
  }

  @ParameterizedTest
  @ValueSource(strings = {"512B", "64KiB", "8MiB", "3GiB"})
  void formatsByteSizesAsParsed(String text) {
    assertEquals(Optional.of(text), TomlUnits.parseByteSize(text).map(TomlUnits::formatBytes));
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "4", "4 s", "-4s", "4S", "1.5s", "PT4S", "9999999999s", "4s\n"})
  void rejectsMalformedDurations(String text) {
    assertEquals(Optional.empty(), TomlUnits.parseDuration(text));
  }

  @Test
  void parsesLargestNumbersWithoutOverflow() {
    assertEquals(Optional.of(Duration.ofDays(999_999_999)), TomlUnits.parseDuration("999999999d"));
    assertEquals(Optional.of(999_999_999L << 30), TomlUnits.parseByteSize("999999999GiB"));
  }
}
