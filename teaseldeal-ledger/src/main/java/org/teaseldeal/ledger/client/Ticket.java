package org.teaseldeal.ledger.client;

/**
 * Identifies a submitted entry by the sequence number of its batch and its index in that batch,
 * until its outcome is known.
 */
public record Ticket(long sequence, int index) {}
