package org.teaseldeal.gateway.log;

/** A record together with its offset in the log. */
public record PositionedRecord(long offset, KeyedRecord record) {}
