package org.teaseldeal.core.part;

import java.util.Set;
import org.teaseldeal.api.BackendServerId;

/** Decides which backend servers still count as leaving when the platform's list is read. */
@FunctionalInterface
public interface LeavingServerRule {
  /**
   * Treats every leaving server as leaving permanently. The platform's list lags, and a stale copy
   * of it would otherwise make the server eligible for new work shortly before it shuts down.
   */
  LeavingServerRule KEEP_FOREVER = (known, listed) -> {};

  /**
   * Updates {@code known}, the servers that count as leaving, with the servers that the platform
   * lists as leaving now.
   */
  void onList(Set<BackendServerId> known, Set<BackendServerId> listed);
}
