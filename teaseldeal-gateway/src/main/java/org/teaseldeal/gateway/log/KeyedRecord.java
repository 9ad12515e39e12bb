package org.teaseldeal.gateway.log;

import java.nio.charset.StandardCharsets;
import org.teaseldeal.api.Preconditions;

/**
 * A record of a log that keeps the newest record of each key.
 *
 * @param key the key of the record, not blank, of at most {@link #MAX_KEY_BYTES} in UTF-8
 * @param value the content; an empty value deletes the key
 */
public record KeyedRecord(String key, byte[] value) {
  /** The longest key that the shared log takes: it states the length in one byte. */
  public static final int MAX_KEY_BYTES = 255;

  public KeyedRecord {
    Preconditions.requireText(key, "record key");
    int bytes = key.getBytes(StandardCharsets.UTF_8).length;
    Preconditions.require(
        bytes <= MAX_KEY_BYTES,
        "a record key had %d bytes, expected at most %d".formatted(bytes, MAX_KEY_BYTES));
  }
}
