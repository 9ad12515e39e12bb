package org.teaseldeal.gateway.flow;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.teaseldeal.decisions.RoomQueue;

/** The requests that wait at this instance until a server of their service has room. */
final class WaitingRequests {
  private final Map<String, RoomQueue<RequestFlow>> queues = new HashMap<>();
  private final Map<RequestFlow, RoomQueue<RequestFlow>> queueOfRequest = new HashMap<>();
  private boolean sending;

  /** The number of requests that wait. */
  int size() {
    return queueOfRequest.size();
  }

  /** The number of requests to a service that wait. */
  int size(String service) {
    RoomQueue<RequestFlow> queue = queues.get(service);
    return queue == null ? 0 : queue.size();
  }

  boolean contains(RequestFlow flow) {
    return queueOfRequest.containsKey(flow);
  }

  /**
   * Lets a request wait.
   *
   * @return empty if it waits; otherwise the time after which the queue is short enough for it
   */
  Optional<Duration> offer(
      String service, RoomQueue.Entry<RequestFlow> entry, double startsPerSecond, Instant now) {
    RoomQueue<RequestFlow> queue = queues.computeIfAbsent(service, name -> new RoomQueue<>());
    Optional<Duration> retryAfter = queue.offer(entry, startsPerSecond, now);
    if (retryAfter.isEmpty()) {
      queueOfRequest.put(entry.item(), queue);
    }
    return retryAfter;
  }

  /** Removes a request that has ended. */
  void remove(RequestFlow flow) {
    RoomQueue<RequestFlow> queue = queueOfRequest.remove(flow);
    if (queue != null) {
      queue.remove(flow);
    }
  }

  /**
   * Sends requests in their order until no server has room, and refuses those that are too late.
   */
  void send(Instant now) {
    if (sending || queueOfRequest.isEmpty()) {
      return;
    }
    sending = true;
    try {
      queues.values().forEach(queue -> send(queue, now));
    } finally {
      sending = false;
    }
  }

  private void send(RoomQueue<RequestFlow> queue, Instant now) {
    queue.overdue(now).forEach(RequestFlow::refuseOverdue);
    Optional<RequestFlow> next = queue.peek();
    while (next.isPresent() && next.get().sendInTurn()) {
      onLeft(queue, next.get());
      next = queue.peek();
    }
  }

  /** Records that a request was sent, unless it has ended and was removed. */
  private void onLeft(RoomQueue<RequestFlow> queue, RequestFlow flow) {
    if (queueOfRequest.remove(flow) != null) {
      queue.onSent(flow);
    }
  }
}
