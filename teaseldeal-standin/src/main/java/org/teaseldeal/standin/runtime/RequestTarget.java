package org.teaseldeal.standin.runtime;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/** The path of a request in decoded segments, and its decoded query fields. */
public record RequestTarget(List<String> segments, Map<String, String> query) {
  public RequestTarget {
    segments = List.copyOf(segments);
    query = Map.copyOf(query);
  }

  /**
   * Parses a request target as sent.
   *
   * @throws IllegalArgumentException if it is malformed
   */
  public static RequestTarget parse(String target) {
    int mark = target.indexOf('?');
    String path = mark < 0 ? target : target.substring(0, mark);
    List<String> segments =
        Arrays.stream(path.split("/", -1))
            .filter(segment -> !segment.isEmpty())
            .map(RequestTarget::decode)
            .toList();
    return new RequestTarget(
        segments, mark < 0 ? Map.of() : parseQuery(target.substring(mark + 1)));
  }

  /**
   * Returns whether the path has as many segments as {@code pattern}, and each equals its pattern
   * or the pattern is {@code *}.
   */
  public boolean matches(String... pattern) {
    if (pattern.length != segments.size()) {
      return false;
    }
    for (int i = 0; i < pattern.length; i++) {
      if (!pattern[i].equals("*") && !pattern[i].equals(segments.get(i))) {
        return false;
      }
    }
    return true;
  }

  /**
   * Returns the number in the query field {@code name}, or {@code defaultValue} if the field is
   * absent.
   *
   * @throws IllegalArgumentException if the field isn't a number from 0
   */
  public long number(String name, long defaultValue) {
    String text = query.get(name);
    if (text == null) {
      return defaultValue;
    }
    return parseNumber(text)
        .orElseThrow(
            () ->
                new IllegalArgumentException(
                    "%s was '%s', expected a number from 0".formatted(name, text)));
  }

  private static OptionalLong parseNumber(String text) {
    try {
      long value = Long.parseLong(text);
      return value < 0 ? OptionalLong.empty() : OptionalLong.of(value);
    } catch (NumberFormatException e) {
      return OptionalLong.empty();
    }
  }

  private static Map<String, String> parseQuery(String text) {
    Map<String, String> query = new HashMap<>();
    for (String field : text.split("&", -1)) {
      int equals = field.indexOf('=');
      if (equals > 0) {
        query.put(decode(field.substring(0, equals)), decode(field.substring(equals + 1)));
      }
    }
    return query;
  }

  private static String decode(String text) {
    return URLDecoder.decode(text, StandardCharsets.UTF_8);
  }
}
