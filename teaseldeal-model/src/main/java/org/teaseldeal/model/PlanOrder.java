package org.teaseldeal.model;

import java.util.NavigableMap;
import java.util.TreeMap;

/** Checks that one process never goes back to an earlier configuration. */
final class PlanOrder {
  private final NavigableMap<Long, Long> planByBegin = new TreeMap<>();

  /**
   * Takes note of a request; returns false if one that began before it had a later configuration,
   * or one that began after it an earlier one.
   */
  boolean add(long beganNanos, long plan) {
    boolean before =
        planByBegin.headMap(beganNanos, false).values().stream().allMatch(each -> each <= plan);
    boolean after =
        planByBegin.tailMap(beganNanos, false).values().stream().allMatch(each -> each >= plan);
    planByBegin.merge(beganNanos, plan, Math::max);
    return before && after;
  }
}
