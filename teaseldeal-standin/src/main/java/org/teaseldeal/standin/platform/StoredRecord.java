package org.teaseldeal.standin.platform;

import java.time.Instant;

/** A record of a stream with its offset and the time of its append. */
record StoredRecord(long offset, Instant appendedAt, byte[] payload) {}
