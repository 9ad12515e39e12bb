package org.teaseldeal.standin.engine;

/** The tokens that a request has used so far. */
record EngineUsage(int promptTokens, int completionTokens) {
  static final EngineUsage NONE = new EngineUsage(0, 0);
}
