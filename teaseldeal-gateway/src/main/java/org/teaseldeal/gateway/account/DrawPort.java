package org.teaseldeal.gateway.account;

import java.util.OptionalLong;
import java.util.function.Consumer;

/** Requests idle tokens from another instance. */
@FunctionalInterface
public interface DrawPort {
  /**
   * Requests up to {@code tokens} of a customer from {@code instance}.
   *
   * @param given called once with the number of tokens that the instance gave; empty if the
   *     instance could not be reached
   */
  void draw(String instance, String customer, long tokens, Consumer<OptionalLong> given);
}
