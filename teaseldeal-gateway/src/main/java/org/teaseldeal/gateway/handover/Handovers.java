package org.teaseldeal.gateway.handover;

import org.teaseldeal.gateway.flow.HandedOverRequests;

/**
 * Both sides of an instance that hands requests over and takes those of others.
 *
 * @param sent the requests of its own callers
 * @param received the requests of other instances
 */
public record Handovers(RequestHandover sent, HandoverReceiver received)
    implements HandedOverRequests {
  @Override
  public int taken() {
    return received.openRequests();
  }

  @Override
  public int abortHandedOver() {
    return sent.abortAll();
  }
}
