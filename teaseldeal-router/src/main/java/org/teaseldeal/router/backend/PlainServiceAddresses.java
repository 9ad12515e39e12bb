package org.teaseldeal.router.backend;

import java.util.LinkedHashSet;
import java.util.SequencedSet;

/**
 * The most recently listed or called addresses of plain services.
 *
 * <p>Plain services must not be sent the calls that are meant for engines, because a {@code DELETE}
 * could have a meaning of its own for such a service.
 */
public final class PlainServiceAddresses {
  private static final int MAX_ADDRESSES = 4096;

  private final SequencedSet<String> addresses = new LinkedHashSet<>();

  /** Adds the address of a plain service; the oldest address is removed beyond the limit. */
  public synchronized void add(String address) {
    addresses.addLast(address);
    if (addresses.size() > MAX_ADDRESSES) {
      addresses.removeFirst();
    }
  }

  /** Removes an address that an engine has taken over. */
  public synchronized void remove(String address) {
    addresses.remove(address);
  }

  synchronized boolean contains(String address) {
    return addresses.contains(address);
  }
}
