package org.teaseldeal.gateway.plan;

import java.util.Locale;

/** Defines whether a route's requests may be repeated, and how they are answered. */
public enum RouteKind {
  /** Requests are idempotent and may run more than once. */
  IDEMPOTENT(false),
  /** Each attempt of a caller runs at most once. */
  AT_MOST_ONCE(false),
  /**
   * Each attempt runs at most once unless the route is resumable; the answer is a stream of events.
   */
  STREAM(true);

  private final boolean streamed;

  RouteKind(boolean streamed) {
    this.streamed = streamed;
  }

  /** Returns the name used in logs: lower case with hyphens. */
  public String label() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** Returns whether the answer is a stream of server-sent events. */
  public boolean streamed() {
    return streamed;
  }
}
