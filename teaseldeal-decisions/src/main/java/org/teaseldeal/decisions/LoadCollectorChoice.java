package org.teaseldeal.decisions;

import java.util.Collection;
import java.util.List;
import java.util.Set;

/**
 * Chooses the instances that collect the numbers of requests that all instances have outstanding at
 * the backend servers, and that send the sums back (collectors).
 *
 * <p>If each of many instances sent its numbers to all others, the traffic received by an instance
 * would grow with the size of the fleet, and the fleet's total traffic with the square of that
 * size, independent of the callers' load. If there are as many collectors as instances report to
 * each collector, an ordinary instance receives from one sender, and a collector receives from and
 * sends to a number of instances that is about the square root of the fleet's size, twice.
 *
 * <p>All instances derive the same collectors from the names in the fleet. While two instances
 * disagree for a moment, some loads are counted twice or not at all; nothing else is affected.
 */
public final class LoadCollectorChoice {
  /**
   * Largest fleet in which all instances are collectors and report directly to each other. In such
   * a fleet a collector in between would save few messages and cost a second hop.
   */
  private static final int MAX_FLEET_WITHOUT_SELECTION = 16;

  private LoadCollectorChoice() {}

  /**
   * Returns the collectors.
   *
   * @param instances the names of all instances, in any order
   */
  public static Set<String> collectors(Collection<String> instances) {
    if (instances.size() <= MAX_FLEET_WITHOUT_SELECTION) {
      return Set.copyOf(instances);
    }
    int collectors = (int) Math.ceil(Math.sqrt(instances.size()));
    return Set.copyOf(RendezvousHash.order("collector", instances).subList(0, collectors));
  }

  /**
   * Returns the order in which {@code instance} tries the collectors; each collector is first for
   * about the same number of instances.
   */
  public static List<String> preferenceOrder(String instance, Collection<String> collectors) {
    return RendezvousHash.order(instance, collectors);
  }
}
