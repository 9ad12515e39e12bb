package org.teaseldeal.decisions;

import java.util.List;
import java.util.Set;
import org.teaseldeal.api.BackendServerId;
import org.teaseldeal.api.Preconditions;

/**
 * Divides the requests in a second that a server takes of all instances together among them.
 *
 * <p>The rate may be lower than one request a second, and callers come unevenly. If each instance
 * had an even share of a low rate, each would send a request now and then, most of the rate would
 * stay unused, and a burst that reaches all instances would bring as many requests at once as there
 * are instances. Therefore only as many instances as the rate has whole requests have a share that
 * counts, the same ones at each server process for all who compute it; others send their requests
 * through them. The rest of the rate is spread over all others, so that a server gets a request now
 * and then also if its holders are gone, and its answer tells whether the limit still holds.
 *
 * <p>Shares need no messages, so their sum holds while instances don't hear of each other. Where
 * instances disagree about who there is, the sum exceeds the rate by the shares that they disagree
 * about.
 */
public final class SharedRate {
  /** The part of the rate that the holders divide. */
  private static final double HOLDERS_PART = 0.95;

  private SharedRate() {}

  /**
   * Returns the instances that divide most of the rate.
   *
   * @param instances the names of all instances
   * @param requestsPerSecond the requests that the server takes
   */
  public static List<String> holders(
      BackendServerId server, Set<String> instances, double requestsPerSecond) {
    Preconditions.require(!instances.isEmpty(), "instances were empty, expected at least one");
    int count = (int) Math.clamp((long) requestsPerSecond, 1, instances.size());
    return RendezvousHash.order(server.name(), instances).subList(0, count);
  }

  /**
   * Returns the requests in a second that an instance may send, which is more than 0.
   *
   * @param instances the names of all instances, {@code instance} among them
   * @param requestsPerSecond the requests that the server takes, more than 0
   */
  public static double of(
      BackendServerId server, String instance, Set<String> instances, double requestsPerSecond) {
    List<String> holders = holders(server, instances, requestsPerSecond);
    int others = instances.size() - holders.size();
    if (others <= 0) {
      return requestsPerSecond / instances.size();
    }
    return holders.contains(instance)
        ? requestsPerSecond * HOLDERS_PART / holders.size()
        : requestsPerSecond * (1 - HOLDERS_PART) / others;
  }
}
