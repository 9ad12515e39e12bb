package org.teaseldeal.gateway.server;

import java.util.Locale;

/** How an entry of the server list changed what is known of its server. */
public enum ListingChange {
  /** Nothing changed: the listing was known, is outdated or is not accepted as a server's. */
  NONE,
  /** A server is listed for the first time or again. */
  READY,
  /** A server accepts no new requests any more. */
  LEAVING,
  /** A server restarted under its id and accepts requests. */
  RESTARTED;

  /** The name in the event log. */
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}
