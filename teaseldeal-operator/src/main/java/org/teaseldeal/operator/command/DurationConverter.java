package org.teaseldeal.operator.command;

import com.beust.jcommander.IStringConverter;
import com.beust.jcommander.ParameterException;
import java.time.Duration;
import org.teaseldeal.settings.toml.TomlUnits;

/** Parses durations in the notation of settings files. */
public final class DurationConverter implements IStringConverter<Duration> {
  @Override
  public Duration convert(String value) {
    return TomlUnits.parseDuration(value)
        .orElseThrow(
            () ->
                new ParameterException(
                    "duration was '%s', expected one such as 500ms, 4s or 10m".formatted(value)));
  }
}
