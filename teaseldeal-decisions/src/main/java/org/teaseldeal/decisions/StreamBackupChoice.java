package org.teaseldeal.decisions;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Chooses the instances that are told at which software version a stream began.
 *
 * <p>When an instance ends, the callers of all its streams come to other instances at once, and
 * each needs the version of its stream. If only the first instance knew it, none could go on; if
 * all instances were told, the messages would grow with the square of the fleet. A few are chosen
 * by the stream's key, so that any instance knows whom to ask.
 */
public final class StreamBackupChoice {
  /**
   * Enough that some remain if several instances end at once, and if messages are lost on the way.
   */
  private static final int BACKUPS = 2;

  /**
   * How many are asked: some more than the backups, as instances that have joined since take the
   * places of others.
   */
  private static final int ASKED = 5;

  /** Up to this size all others are asked, among them the instance that began the stream. */
  private static final int SMALL_FLEET = 10;

  /** The number of orders that are kept instead of being computed for each stream. */
  private static final int ORDERS = 128;

  private final Map<Integer, List<String>> orders = new HashMap<>();
  private @Nullable Collection<String> orderedInstances;

  /** Returns the instances that {@code self} tells of a stream. */
  public List<String> backups(long stream, String self, Set<String> instances) {
    return others(stream, self, instances, BACKUPS);
  }

  /** Returns the instances that {@code self} asks for a stream. */
  public List<String> asked(long stream, String self, Set<String> instances) {
    int count = instances.size() <= SMALL_FLEET ? SMALL_FLEET : ASKED;
    return others(stream, self, instances, count);
  }

  private List<String> others(long stream, String self, Set<String> instances, int count) {
    if (orderedInstances != instances) {
      orderedInstances = instances;
      orders.clear();
    }
    int order = Math.floorMod(stream, ORDERS);
    return orders
        .computeIfAbsent(order, key -> RendezvousHash.order("stream " + key, instances))
        .stream()
        .filter(name -> !name.equals(self))
        .limit(count)
        .toList();
  }
}
