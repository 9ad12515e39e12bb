package org.teaseldeal.bench.fault;

import java.time.Duration;
import org.jspecify.annotations.Nullable;

/**
 * A request that a fault plan sends.
 *
 * @param at the time of sending, counted from the start of the run
 * @param instanceIndex the index, modulo the number of instances, of the instance that receives the
 *     request
 * @param key the caller's idempotency key; later steps may carry the same key, which models a
 *     caller that retries
 * @param hangUpAfter the time after sending at which the caller closes its connection, or null if
 *     it waits for the answer
 */
record CallStep(
    Duration at,
    Service service,
    int instanceIndex,
    @Nullable String key,
    @Nullable Duration hangUpAfter) {
  /** The services that the simulated fleet offers. */
  enum Service {
    DRAFTS("drafts", true, true),
    HOLDS("holds", true, false),
    BIDS("bids", false, false),
    RATES("rates", false, true);

    private final String label;
    private final boolean model;
    private final boolean idempotent;

    Service(String label, boolean model, boolean idempotent) {
      this.label = label;
      this.model = model;
      this.idempotent = idempotent;
    }

    String label() {
      return label;
    }

    boolean model() {
      return model;
    }

    boolean idempotent() {
      return idempotent;
    }
  }
}
