package org.teaseldeal.core.part;

import java.util.Set;
import org.teaseldeal.api.BackendServerId;

/** Decides which backend servers still count as leaving when the platform's list is read. */
@FunctionalInterface
public interface LeavingServerRule {
  /**
   * Keeps every leaving server for good. The platform's list lags, and a stale copy of it would
   * otherwise give a server new work just before it shuts down.
   */
  LeavingServerRule KEEP_FOREVER = (known, listed) -> {};

  /**
   * Updates {@code known}, the servers that count as leaving, with the servers that the platform
   * lists as leaving now.
   */
  void onList(Set<BackendServerId> known, Set<BackendServerId> listed);
}
