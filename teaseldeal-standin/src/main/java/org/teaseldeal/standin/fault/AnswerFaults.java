package org.teaseldeal.standin.fault;

import org.teaseldeal.settings.toml.TomlReader;

/**
 * How answers are framed, and which of them are broken off.
 *
 * @param framing the framing of all answers
 * @param brokenOffShare the share of answers that are broken off
 * @param brokenOffResetShare the share of broken off answers whose connection is reset instead of
 *     closed
 * @param brokenOffWithinBytes the number of bytes of an answer, its head included, among which the
 *     last one that is sent is drawn; a shorter answer may be sent completely
 */
public record AnswerFaults(
    FramingChoice framing,
    double brokenOffShare,
    double brokenOffResetShare,
    int brokenOffWithinBytes) {
  private static final int MAX_BYTES = 1 << 24;

  /** No faults. */
  public static final AnswerFaults NONE = new AnswerFaults(FramingChoice.STANDARD, 0, 0.5, 4_000);

  /** Reads fault settings; keys that {@code table} lacks have their value in {@code defaults}. */
  public static AnswerFaults read(TomlReader table, AnswerFaults defaults) {
    return new AnswerFaults(
        table.enumConstant("framing", defaults.framing),
        table.doubleInRange("broken_off_share", defaults.brokenOffShare, 0, 1),
        table.doubleInRange("broken_off_reset_share", defaults.brokenOffResetShare, 0, 1),
        table.intInRange("broken_off_within_bytes", defaults.brokenOffWithinBytes, 1, MAX_BYTES));
  }
}
