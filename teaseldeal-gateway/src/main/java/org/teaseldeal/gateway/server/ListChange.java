package org.teaseldeal.gateway.server;

import java.util.Locale;

/** What a line of the list changed in what is believed of its server. */
public enum ListChange {
  /** Nothing: it was known, or the line is out of date or names no server. */
  NONE,
  /** A server is new, or back. */
  READY,
  /** A server takes no new requests. */
  LEAVING,
  /** A server started again under its id, and takes requests. */
  RESTARTED;

  /** The name in the log. */
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}
