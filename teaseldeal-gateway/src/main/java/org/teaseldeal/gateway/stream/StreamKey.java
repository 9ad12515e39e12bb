package org.teaseldeal.gateway.stream;

import com.dynatrace.hash4j.hashing.HashStream64;
import com.dynatrace.hash4j.hashing.Hashing;

/**
 * Identifies a stream by the attempt that brought its first event.
 *
 * <p>The customer is part of the key, so that a caller who names another customer's attempt learns
 * nothing of that stream, and so is the service, as versions of two services can't be compared.
 *
 * @param hash the same for the same stream at every instance
 */
public record StreamKey(long hash) {
  /**
   * Returns the key of a stream.
   *
   * @param customer the customer's name; empty if the request needs no key
   * @param attempt the caller's id of the attempt that brought the first event
   */
  public static StreamKey of(String customer, String service, String attempt) {
    HashStream64 hash = Hashing.komihash5_0().hashStream();
    hash.putString(customer).putString(service).putString(attempt);
    return new StreamKey(hash.getAsLong());
  }
}
