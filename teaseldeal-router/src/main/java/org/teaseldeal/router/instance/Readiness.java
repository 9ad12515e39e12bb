package org.teaseldeal.router.instance;

import java.util.Map;
import java.util.TreeMap;

/**
 * Whether an instance accepts new requests, and how far it has read the log's streams.
 *
 * @param ready whether the instance accepts new requests
 * @param reason what the instance waits for; empty if it is ready
 * @param instance the name of the instance
 * @param incarnation the incarnation of the instance
 * @param foldedTo the last offset of each stream that is folded into the instance's state, by the
 *     name of the stream on the log
 */
public record Readiness(
    boolean ready, String reason, String instance, String incarnation, Map<String, Long> foldedTo) {
  public Readiness {
    foldedTo = new TreeMap<>(foldedTo);
  }
}
