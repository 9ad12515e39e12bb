package org.teaseldeal.operator.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * The option for the credential of admin listeners.
 *
 * <p>No option takes the token itself, because every user of the host can see command lines and
 * they stay in the history of the shell.
 */
final class AdminOptions {
  static final String ENVIRONMENT_VARIABLE = "TEASELDEAL_ADMIN_TOKEN";

  @Parameter(
      names = "--admin-token-file",
      description =
          "File with the admin credential; default: environment variable " + ENVIRONMENT_VARIABLE)
  private @Nullable Path tokenFile;

  Optional<String> token(Map<String, String> environment) {
    if (tokenFile == null) {
      return Optional.ofNullable(environment.get(ENVIRONMENT_VARIABLE))
          .filter(token -> !token.isBlank());
    }
    try {
      String token = Files.readString(tokenFile).strip();
      if (token.isEmpty() || token.lines().count() > 1) {
        throw new ParameterException(
            "%s has no or several lines, expected one with the credential".formatted(tokenFile));
      }
      return Optional.of(token);
    } catch (IOException e) {
      throw new ParameterException("the credential can't be read from " + tokenFile);
    }
  }
}
