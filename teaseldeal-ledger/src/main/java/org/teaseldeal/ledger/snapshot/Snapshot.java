package org.teaseldeal.ledger.snapshot;

/** A complete snapshot: the exported state after {@code coveredOffset}. */
public record Snapshot(long coveredOffset, byte[] state) {}
