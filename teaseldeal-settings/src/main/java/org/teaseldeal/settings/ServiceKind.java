package org.teaseldeal.settings;

/** The kind of backend server that runs a service's requests. */
public enum ServiceKind {
  /**
   * A model engine: its requests can be streamed, batched, resumed and cancelled; the engine
   * reports the usage.
   */
  MODEL,
  /**
   * A plain service: one answer for each call, which cannot be resumed; the usage is a fixed cost
   * per call.
   */
  PLAIN;

  /** Returns whether an interrupted answer can be resumed from a position. */
  public boolean resumable() {
    return this == MODEL;
  }
}
