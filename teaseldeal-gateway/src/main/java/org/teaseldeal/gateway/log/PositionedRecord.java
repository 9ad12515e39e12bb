package org.teaseldeal.gateway.log;

/** A record and its offset in the log. */
public record PositionedRecord(long offset, KeyedRecord record) {}
