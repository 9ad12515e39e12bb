package org.teaseldeal.standin.runtime;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.TreeMap;

/** A value that retains its history, so that it can be read as of an earlier time. */
public final class LaggedValue<T> {
  private final Duration retention;
  private final TreeMap<Instant, T> valuesByTime = new TreeMap<>();

  /**
   * Creates the value.
   *
   * @param retention how far back the value can be read
   * @param initial the value before the first change
   */
  public LaggedValue(Duration retention, T initial) {
    this.retention = retention;
    valuesByTime.put(Instant.MIN, initial);
  }

  /** Sets the value as of {@code at}, which must not be before the time of an earlier change. */
  public void set(Instant at, T value) {
    valuesByTime.put(at, value);
    Map.Entry<Instant, T> oldest = valuesByTime.floorEntry(at.minus(retention));
    if (oldest != null) {
      valuesByTime.headMap(oldest.getKey(), false).clear();
    }
  }

  /** Returns the value as of {@code time}, or the oldest one retained if that is later. */
  public T at(Instant time) {
    Map.Entry<Instant, T> entry = valuesByTime.floorEntry(time);
    return entry == null ? valuesByTime.firstEntry().getValue() : entry.getValue();
  }
}
