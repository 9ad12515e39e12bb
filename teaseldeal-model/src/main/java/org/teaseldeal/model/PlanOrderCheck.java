package org.teaseldeal.model;

import java.util.NavigableMap;
import java.util.TreeMap;

/** Checks that one process never returns to an earlier plan. */
final class PlanOrderCheck {
  private final NavigableMap<Long, Long> planByStartNanos = new TreeMap<>();

  /**
   * Records a request. Returns false if a request that started earlier had a later plan, or a
   * request that started later had an earlier one.
   */
  boolean add(long startNanos, long plan) {
    boolean before =
        planByStartNanos.headMap(startNanos, false).values().stream()
            .allMatch(each -> each <= plan);
    boolean after =
        planByStartNanos.tailMap(startNanos, false).values().stream()
            .allMatch(each -> each >= plan);
    planByStartNanos.merge(startNanos, plan, Math::max);
    return before && after;
  }
}
