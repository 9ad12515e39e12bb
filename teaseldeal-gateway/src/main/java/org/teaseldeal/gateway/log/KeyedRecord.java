package org.teaseldeal.gateway.log;

import org.teaseldeal.api.Preconditions;

/**
 * A record of a log that keeps the newest record of each key.
 *
 * @param key the key of the record, not blank
 * @param value the content; an empty value deletes the key
 */
public record KeyedRecord(String key, byte[] value) {
  public KeyedRecord {
    Preconditions.requireText(key, "record key");
  }
}
