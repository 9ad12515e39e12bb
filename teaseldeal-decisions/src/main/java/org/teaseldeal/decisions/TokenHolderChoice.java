package org.teaseldeal.decisions;

import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Which instances divide a customer's prepaid total among them. The others ask one of these for the
 * tokens of each request.
 *
 * <p>Load pattern: a fleet of many instances, each with few requests of each customer. Divided
 * among all, a total gives each instance less than one request needs, so each request waits for the
 * shared log, which is asked by all of them at once; when the log is away, callers are refused
 * though most of the total is idle. A few holders each have a lease of many requests and see a
 * steady demand, and what is written to the log grows with their number, not with the fleet.
 *
 * <p>All instances work the holders out alike from the names in the fleet. Where two don't agree
 * for a moment, a total has more holders for that moment, and nothing else.
 */
public final class TokenHolderChoice {
  /** Up to so many instances all hold: each lease covers several requests. */
  private static final int ALL_HOLD = 16;

  /** Enough that the loss of some is borne, and few enough that a lease covers many requests. */
  private static final int HOLDERS = 6;

  /**
   * Customers are divided into groups, so that one instance does not hold for all of them; into as
   * many at any size, so that no customer's holders change with the number of groups. Holders renew
   * their notes five times a second, and the shared log takes 500 appends a second: so many groups
   * take up a third of it.
   */
  private static final int GROUPS = 5;

  private TokenHolderChoice() {}

  /**
   * The instances that hold parts of a customer's total.
   *
   * @param instances the names of all, in any order
   */
  public static Set<String> of(String customer, Collection<String> instances) {
    if (instances.size() <= ALL_HOLD) {
      return Set.copyOf(instances);
    }
    return ofGroup(Math.floorMod(RendezvousHash.hash(customer), GROUPS), instances);
  }

  /** The instances that hold parts of any customer's total. */
  public static Set<String> ofAny(Collection<String> instances) {
    if (instances.size() <= ALL_HOLD) {
      return Set.copyOf(instances);
    }
    return IntStream.range(0, GROUPS)
        .mapToObj(group -> ofGroup(group, instances))
        .flatMap(Set::stream)
        .collect(Collectors.toUnmodifiableSet());
  }

  private static Set<String> ofGroup(long group, Collection<String> instances) {
    return Set.copyOf(RendezvousHash.ranked("group " + group, instances).subList(0, HOLDERS));
  }

  /** The order in which {@code asker} asks holders, so that each is asked first by as many. */
  public static List<String> order(String asker, Collection<String> holders) {
    return RendezvousHash.ranked(asker, holders);
  }
}
