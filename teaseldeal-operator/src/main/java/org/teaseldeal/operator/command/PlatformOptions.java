package org.teaseldeal.operator.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.time.Duration;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.teaseldeal.ledger.StreamPartitioning;

/** Options for the address of the platform, the timeout and the number of streams. */
final class PlatformOptions {
  static final String ENVIRONMENT_VARIABLE = "TEASELDEAL_PLATFORM";

  @Parameter(
      names = "--platform",
      description =
          "The platform's address, IP:PORT; default: environment variable " + ENVIRONMENT_VARIABLE)
  private @Nullable String address;

  @Parameter(
      names = "--timeout",
      description = "How long to wait without any progress at the platform",
      defaultValueDescription = "10s",
      converter = DurationConverter.class)
  private Duration timeout = Duration.ofSeconds(10);

  @Parameter(names = "--streams", description = "Number of streams of the ledger")
  private int streamCount = 1;

  String address(Map<String, String> environment) {
    String value = address == null ? environment.get(ENVIRONMENT_VARIABLE) : address;
    if (value == null || value.isBlank()) {
      throw new ParameterException(
          "the platform's address is missing, expected --platform IP:PORT or "
              + ENVIRONMENT_VARIABLE);
    }
    return value;
  }

  Duration timeout() {
    return timeout;
  }

  StreamPartitioning partitioning() {
    if (streamCount < 1) {
      throw new ParameterException("--streams was %d, expected 1 or more".formatted(streamCount));
    }
    return new StreamPartitioning(streamCount);
  }
}
