package org.teaseldeal.gateway.account;

import java.util.OptionalLong;
import java.util.function.Consumer;

/** Asks another instance for tokens that it has idle. */
@FunctionalInterface
public interface DrawPort {
  /**
   * Asks {@code instance} for up to {@code tokens} of a customer.
   *
   * @param given is told once how many it gave; empty if it can't be reached
   */
  void draw(String instance, String customer, long tokens, Consumer<OptionalLong> given);
}
