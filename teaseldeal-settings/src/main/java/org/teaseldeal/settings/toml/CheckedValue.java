package org.teaseldeal.settings.toml;

/**
 * The result of checking a value: the typed value, or what was found instead and what was expected.
 */
sealed interface CheckedValue<T> {
  /** A valid value. */
  record Valid<T>(T value) implements CheckedValue<T> {}

  /** A value of the wrong type or out of range. */
  record Invalid<T>(String found, String expected) implements CheckedValue<T> {}

  static <T> CheckedValue<T> valid(T value) {
    return new Valid<>(value);
  }

  static <T> CheckedValue<T> invalid(String found, String expected) {
    return new Invalid<>(found, expected);
  }
}
