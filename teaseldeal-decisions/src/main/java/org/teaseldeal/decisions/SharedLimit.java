package org.teaseldeal.decisions;

import org.teaseldeal.api.Preconditions;

/**
 * Enforces the concurrency limit of a server that several instances share, when each instance
 * learns of the other instances' requests only with a delay.
 *
 * <p>If a burst reaches all instances within one heartbeat, each sees the same free slots and takes
 * all of them; a server with room for 8 requests is given 8 by each of 9 instances. Dividing the
 * limit evenly is no solution: with 9 instances and a limit of 4 it leaves none to each, and if a
 * load balancer sends most requests to one instance, the shares of the others stay unused.
 * Therefore:
 *
 * <ul>
 *   <li>Of the slots that were free at the last report of the other instances, an instance may take
 *       its even share immediately, but always at least one. It may also use again the slots that
 *       it had at that time. Without this, each ended request would leave a slot empty until the
 *       next report, which reduced the throughput to 72 % at 150 % load with 9 instances.
 *   <li>An instance with less than its even share of the whole pool may exceed a server's limit by
 *       half. Without this, instances that hold all slots would reuse each slot for their own next
 *       request, and an instance that came later would never get one. Instances above their share
 *       see the server over its limit and leave the next slot that becomes free empty.
 * </ul>
 *
 * @param limit maximum number of requests that the whole fleet may have outstanding at the server
 * @param own number of requests that this instance has outstanding there
 * @param ownAtLastReport the same number at the time of the other instances' last report
 * @param others number of requests that the other instances had outstanding there at their last
 *     report
 */
public record SharedLimit(int limit, int own, int ownAtLastReport, int others) {
  public SharedLimit {
    Preconditions.requirePositive(limit, "limit");
  }

  /**
   * Returns whether one more request may be sent to the server.
   *
   * @param ownInPool number of requests that this instance has outstanding in the whole pool
   * @param poolLimit sum of the limits of the pool's servers
   * @param instances number of live instances, including this one
   */
  public boolean hasRoom(int ownInPool, int poolLimit, int instances) {
    Preconditions.requirePositive(instances, "instances");
    if (own + others < limit && own < ownAtLastReport + newSlots(instances)) {
      return true;
    }
    boolean belowShare = ownInPool < Math.max(1, poolLimit / instances);
    return belowShare && own + others < limit + Math.max(1, limit / 2);
  }

  private int newSlots(int instances) {
    int freeSlots = limit - others - ownAtLastReport;
    return Math.max(1, freeSlots / instances);
  }
}
