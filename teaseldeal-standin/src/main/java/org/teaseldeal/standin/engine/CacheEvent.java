package org.teaseldeal.standin.engine;

import java.time.Instant;

/** The event that a block was stored or removed, which can be read from {@code visibleAt} on. */
record CacheEvent(long seq, boolean stored, long block, Instant visibleAt) {}
