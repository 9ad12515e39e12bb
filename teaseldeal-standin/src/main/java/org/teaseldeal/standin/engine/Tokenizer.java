package org.teaseldeal.standin.engine;

import java.util.List;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;

/**
 * Splits text into words and single punctuation marks.
 *
 * <p>Each token has at least one character and white space is dropped, so a text never has more
 * tokens than its UTF-8 form has bytes.
 */
final class Tokenizer {
  private static final Pattern TOKEN =
      Pattern.compile("[\\p{L}\\p{M}\\p{N}_]+|[^\\s\\p{L}\\p{M}\\p{N}_]");

  private Tokenizer() {}

  static List<String> tokens(String text) {
    return TOKEN.matcher(text).results().map(MatchResult::group).toList();
  }
}
