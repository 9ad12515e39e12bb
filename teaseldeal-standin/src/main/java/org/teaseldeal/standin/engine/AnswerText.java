package org.teaseldeal.standin.engine;

import org.teaseldeal.api.Sha256;

/**
 * Generates the text of an answer, which is determined by request id and prompt alone.
 *
 * <p>Frame {@code n} is {@code <d><p>:<n>} and a space, where {@code d} and {@code p} are the first
 * eight hexadecimal digits of the SHA-256 of the request id and of the prompt. A client that knows
 * the request id or the prompt can therefore check that an answer belongs to its request and is
 * complete and in order.
 */
final class AnswerText {
  private static final int DIGITS = 8;

  private final String prefix;

  AnswerText(String requestId, String prompt) {
    prefix = digest(requestId) + digest(prompt);
  }

  String frame(int position) {
    return prefix + ":" + position + " ";
  }

  static String digest(String text) {
    return Sha256.hex(text).substring(0, DIGITS);
  }
}
