package org.teaseldeal.ledger;

import java.time.Instant;

/**
 * One record of the platform's log: its offset, the time at which the log appended it, and its
 * payload.
 */
public record LogRecord(long offset, Instant appendedAt, byte[] payload) {}
