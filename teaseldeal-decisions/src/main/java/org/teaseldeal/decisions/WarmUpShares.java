package org.teaseldeal.decisions;

import java.util.List;
import java.util.Set;
import org.teaseldeal.api.BackendServerId;
import org.teaseldeal.api.Preconditions;

/**
 * Divides the requests that a server tolerates in a second while it warms up among the instances.
 *
 * <p>A server that has just started, or whose caches were dropped, fails if all instances together
 * send it more than it tolerates. It has no load, so each instance would choose it, and they learn
 * of each other's requests too late. Therefore each instance has a fixed share that it may use
 * without asking, also while it hears of no other instance.
 *
 * <p>If there are more instances than requests, only the first ones by rendezvous hashing have a
 * share, and the others send their requests through them. A part of the limit stays unused, and no
 * share is larger than that part, since an instance that has just joined takes its share before the
 * others know of it.
 */
public final class WarmUpShares {
  private static final double USED_FRACTION = 0.86;

  private WarmUpShares() {}

  /**
   * Returns how many requests an instance may send to a server within any second.
   *
   * @param instances the names of all instances, {@code instance} among them
   * @param limit the number of requests that the server tolerates in a second
   */
  public static int share(
      BackendServerId server, String instance, Set<String> instances, int limit) {
    Preconditions.requireNotNegative(limit, "limit");
    int rank = holders(server, instances, limit).indexOf(instance);
    if (rank < 0) {
      return 0;
    }
    int used = used(limit);
    int count = instances.size();
    int evenShare = used / count + (rank < used % count ? 1 : 0);
    return Math.min(evenShare, Math.max(1, limit - used));
  }

  /** Returns the instances that have a share of a server, those with the largest share first. */
  public static List<String> holders(BackendServerId server, Set<String> instances, int limit) {
    return RendezvousHash.order(server.name(), instances).stream().limit(used(limit)).toList();
  }

  private static int used(int limit) {
    return limit == 0 ? 0 : Math.max(1, (int) (limit * USED_FRACTION));
  }
}
