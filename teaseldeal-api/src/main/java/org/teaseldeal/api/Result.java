package org.teaseldeal.api;

/** Either a value or the {@link Problem} that occurred instead. */
public sealed interface Result<T> {
  /** A value. */
  record Ok<T>(T value) implements Result<T> {}

  /** A problem. */
  record Err<T>(Problem problem) implements Result<T> {}

  /** Wraps a value. */
  static <T> Result<T> ok(T value) {
    return new Ok<>(value);
  }

  /** Wraps a problem. */
  static <T> Result<T> err(Problem problem) {
    return new Err<>(problem);
  }
}
