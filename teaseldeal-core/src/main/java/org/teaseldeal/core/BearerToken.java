package org.teaseldeal.core;

/** A caller's secret. Its text form never contains the secret, so that it can't reach a log. */
public record BearerToken(String secret) {
  @Override
  public String toString() {
    return "BearerToken[…]";
  }
}
