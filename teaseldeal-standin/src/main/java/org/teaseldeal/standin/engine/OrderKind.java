package org.teaseldeal.standin.engine;

import java.util.Arrays;
import java.util.Locale;

/** The kinds of orders that an engine accepts. */
enum OrderKind {
  LOAD_MODEL,
  UNLOAD_MODEL,
  LOAD_ADAPTER,
  SET_ROLE;

  /**
   * Returns the kind with the given label.
   *
   * @throws IllegalArgumentException if there is none
   */
  static OrderKind parse(String label) {
    return Arrays.stream(values())
        .filter(kind -> kind.label().equals(label))
        .findFirst()
        .orElseThrow(
            () ->
                new IllegalArgumentException(
                    "kind was '%s', expected one of %s"
                        .formatted(label, Arrays.stream(values()).map(OrderKind::label).toList())));
  }

  private String label() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
