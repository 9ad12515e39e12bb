package org.teaseldeal.standin.engine;

import java.util.Locale;

/** The effect of a request that crashes the engine. */
public enum CrashMode {
  /** The request has no effect on the engine. */
  OFF,
  /** The process exits. */
  EXIT,
  /** The engine closes all connections and drops all requests and its cache. */
  FORGET;

  /** Returns the name that settings and JSON use. */
  @Override
  public String toString() {
    return name().toLowerCase(Locale.ROOT);
  }
}
