package org.teaseldeal.api;

import java.util.Locale;

/**
 * An order to an engine. Orders are idempotent: carrying one out twice has the same effect as once.
 *
 * @param target the name of the model or adapter, or the role
 * @param version the version to load; empty for kinds of orders without a version
 */
public record EngineOrder(Kind kind, String target, String version) {
  /** The kinds of orders. */
  public enum Kind {
    LOAD_MODEL,
    UNLOAD_MODEL,
    LOAD_ADAPTER,
    SET_ROLE;

    /** Returns the name of this kind in the engine protocol. */
    public String label() {
      return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
  }
}
