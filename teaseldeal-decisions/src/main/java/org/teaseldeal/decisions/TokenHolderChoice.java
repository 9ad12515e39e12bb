package org.teaseldeal.decisions;

import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Chooses the instances that divide a customer's prepaid total among them (holders). The other
 * instances ask one of the holders for the tokens of each request.
 *
 * <p>In a large fleet each instance may get few requests of each customer. If a total were divided
 * among all instances, each would get fewer tokens than one request needs, so each request would
 * wait for the shared log, and all instances would load the log at once; while the log is
 * unavailable, callers would be refused although most of the total is idle. A few holders each have
 * a lease for many requests and see a steady demand, and the traffic to the log grows with the
 * number of holders instead of the size of the fleet.
 *
 * <p>All instances derive the same holders from the names in the fleet. While two instances
 * disagree for a moment, a total has more holders; nothing else is affected.
 */
public final class TokenHolderChoice {
  /** Largest fleet in which all instances are holders; each lease then covers several requests. */
  private static final int MAX_FLEET_WITHOUT_SELECTION = 16;

  /**
   * Number of holders of a group: enough to tolerate the loss of some, and few enough for a lease
   * to cover many requests.
   */
  private static final int HOLDERS_PER_GROUP = 6;

  /**
   * Number of groups into which customers are divided, so that no single instance holds tokens for
   * all of them. The number is the same for every fleet size, so that no customer's holders change
   * with it. A holder writes its notes five times a second, and the shared log accepts 500 appends
   * per second: this many groups use a third of that.
   */
  private static final int GROUPS = 5;

  private TokenHolderChoice() {}

  /**
   * Returns the holders of a customer's total.
   *
   * @param instances the names of all instances, in any order
   */
  public static Set<String> holders(String customer, Collection<String> instances) {
    if (instances.size() <= MAX_FLEET_WITHOUT_SELECTION) {
      return Set.copyOf(instances);
    }
    return ofGroup(Math.floorMod(RendezvousHash.hash(customer), GROUPS), instances);
  }

  /** Returns the holders of all groups of customers. */
  public static Set<String> holdersOfAnyCustomer(Collection<String> instances) {
    if (instances.size() <= MAX_FLEET_WITHOUT_SELECTION) {
      return Set.copyOf(instances);
    }
    return IntStream.range(0, GROUPS)
        .mapToObj(group -> ofGroup(group, instances))
        .flatMap(Set::stream)
        .collect(Collectors.toUnmodifiableSet());
  }

  private static Set<String> ofGroup(long group, Collection<String> instances) {
    return Set.copyOf(
        RendezvousHash.order("group " + group, instances).subList(0, HOLDERS_PER_GROUP));
  }

  /**
   * Returns the order in which {@code requester} asks the holders; each holder is first for about
   * the same number of instances.
   */
  public static List<String> preferenceOrder(String requester, Collection<String> holders) {
    return RendezvousHash.order(requester, holders);
  }
}
