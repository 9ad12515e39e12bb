package org.teaseldeal.router.backend;

import org.teaseldeal.api.AttemptId;
import org.teaseldeal.api.IncarnationId;

/** Parses attempt ids in the format of {@link AttemptId#toString}. */
final class AttemptIdParser {
  private AttemptIdParser() {}

  static AttemptId parse(String text) {
    int dash = text.lastIndexOf('-');
    if (dash <= 0) {
      throw malformed(text);
    }
    try {
      return new AttemptId(
          new IncarnationId(text.substring(0, dash)), Long.parseLong(text.substring(dash + 1)));
    } catch (NumberFormatException e) {
      throw malformed(text);
    }
  }

  private static IllegalArgumentException malformed(String text) {
    return new IllegalArgumentException(
        "attempt was '%s', expected incarnation-number".formatted(text));
  }
}
