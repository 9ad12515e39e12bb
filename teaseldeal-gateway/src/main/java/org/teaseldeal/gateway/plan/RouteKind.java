package org.teaseldeal.gateway.plan;

import java.util.Locale;

/** What may be repeated of a route's requests, and how they are answered. */
public enum RouteKind {
  /** Idempotent: may run more than once. */
  IDEMPOTENT(false),
  /** Runs at most once for each attempt of the caller. */
  AT_MOST_ONCE(false),
  /** Runs at most once, unless the route is resumable; the answer is a stream of events. */
  STREAM(true);

  private final boolean streamed;

  RouteKind(boolean streamed) {
    this.streamed = streamed;
  }

  /** The name in logs: lower case with hyphens. */
  public String label() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** Whether the answer is a stream of server-sent events. */
  public boolean streamed() {
    return streamed;
  }
}
