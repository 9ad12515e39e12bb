package org.teaseldeal.decisions;

import org.teaseldeal.api.BackendServerId;
import org.teaseldeal.api.Preconditions;

/**
 * What an instance knows about a backend server when it places a request.
 *
 * @param id the server
 * @param own number of requests that this instance has outstanding there, exact
 * @param others estimated number of requests that other instances have outstanding there; known
 *     only with a delay
 * @param limit maximum number of requests that the whole fleet may have outstanding there
 * @param slowness its mean answer time relative to the pool's median
 * @param open whether it may be given another request; see {@link SharedLimit}
 * @param local whether it is in this instance's data centre
 */
public record ServerView(
    BackendServerId id,
    int own,
    int others,
    int limit,
    double slowness,
    boolean open,
    boolean local) {
  public ServerView {
    Preconditions.requireNotNegative(own, "own");
    Preconditions.requireNotNegative(others, "others");
    Preconditions.requirePositive(limit, "limit");
    Preconditions.require(
        slowness > 0, "slowness was %s, expected more than 0".formatted(slowness));
  }

  /** Creates the view of a server of average speed that is open while below its limit. */
  public ServerView(BackendServerId id, int own, int others, int limit, boolean local) {
    this(id, own, others, limit, 1, own + others < limit, local);
  }

  /** Returns the known number of requests outstanding at the server. */
  public int outstanding() {
    return own + others;
  }

  /**
   * Returns the wait that one more request would have, relative to an idle server of average speed.
   *
   * <p>The new request itself counts, so that a slow server ranks behind a fast one when both are
   * idle.
   */
  public double load() {
    return slowness * (outstanding() + 1) / limit;
  }
}
