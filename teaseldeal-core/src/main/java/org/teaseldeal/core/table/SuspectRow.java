package org.teaseldeal.core.table;

import java.time.Instant;
import java.util.Set;
import java.util.TreeSet;
import org.teaseldeal.api.BackendServerId;

/** A request, identified by its fingerprint, that was in flight on servers when they failed. */
public final class SuspectRow {
  public final String fingerprint;

  /**
   * Servers to which the connection was lost while they ran the request, and which have not been
   * found to be down.
   */
  public final Set<BackendServerId> connectionLostOn = new TreeSet<>();

  /** Servers that ran the request and are down. */
  public final Set<BackendServerId> downServers = new TreeSet<>();

  public Instant expiresAt;

  public SuspectRow(String fingerprint, Instant expiresAt) {
    this.fingerprint = fingerprint;
    this.expiresAt = expiresAt;
  }
}
