package org.teaseldeal.operator.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** The option for the author of a change, who is recorded on the log. */
final class AuthorOption {
  @Parameter(
      names = "--author",
      description = "Author to record with the change; default: environment variable USER")
  private @Nullable String author;

  String author(Map<String, String> environment) {
    String value = author == null ? environment.get("USER") : author;
    if (value == null || value.isBlank()) {
      throw new ParameterException("the author is missing, expected --author NAME or USER");
    }
    return value;
  }
}
