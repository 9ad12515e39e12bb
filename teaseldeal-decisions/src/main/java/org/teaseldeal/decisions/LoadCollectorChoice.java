package org.teaseldeal.decisions;

import java.util.Collection;
import java.util.List;
import java.util.Set;

/**
 * Which instances collect what the others have outstanding at the backend servers, and tell each
 * the sum.
 *
 * <p>Load pattern: each of many instances tells all others, so that what an instance hears grows
 * with the fleet and what the fleet sends with its square, whatever callers ask for. With as many
 * collectors as each has instances to report to it, an instance hears one sender, and a collector
 * hears and tells as many as the square root of the fleet, twice.
 *
 * <p>All instances work the collectors out alike from the names in the fleet. Where two don't agree
 * for a moment, some loads are counted twice or not at all for that moment, and nothing else.
 */
public final class LoadCollectorChoice {
  /**
   * Up to so many instances all collect and tell each other directly: a collector between them
   * would save few messages, and cost a second hop.
   */
  private static final int ALL_COLLECT = 16;

  private LoadCollectorChoice() {}

  /**
   * The instances that collect.
   *
   * @param instances the names of all, in any order
   */
  public static Set<String> of(Collection<String> instances) {
    if (instances.size() <= ALL_COLLECT) {
      return Set.copyOf(instances);
    }
    int collectors = (int) Math.ceil(Math.sqrt(instances.size()));
    return Set.copyOf(RendezvousHash.ranked("collector", instances).subList(0, collectors));
  }

  /** The order in which {@code instance} turns to collectors, so that each is first for as many. */
  public static List<String> order(String instance, Collection<String> collectors) {
    return RendezvousHash.ranked(instance, collectors);
  }
}
