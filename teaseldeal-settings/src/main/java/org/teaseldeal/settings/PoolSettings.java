package org.teaseldeal.settings;

import java.util.Map;
import java.util.Optional;
import org.teaseldeal.api.Preconditions;

/**
 * Settings of a pool of backend servers. Its members come from the platform's server list.
 *
 * @param name the name of the pool
 * @param kind the kind of its backend servers
 * @param maxConcurrentPerServer the maximum number of concurrent requests that the whole fleet
 *     sends to one server
 * @param checksFencing whether its engines reject an order with an outdated fencing token
 * @param models the versions, by name, of all models that its engines have to load; empty to leave
 *     the loaded models unchanged
 * @param adapters the versions, by name, of the adapters that its engines have to load
 * @param role the role that its engines have to take; empty to leave it unchanged
 */
public record PoolSettings(
    String name,
    ServiceKind kind,
    int maxConcurrentPerServer,
    boolean checksFencing,
    Map<String, String> models,
    Map<String, String> adapters,
    Optional<String> role) {
  public PoolSettings {
    models = Map.copyOf(models);
    adapters = Map.copyOf(adapters);
    Preconditions.requireName(name, "pool name");
    Preconditions.requirePositive(maxConcurrentPerServer, "max_concurrent_per_server");
  }

  /** Creates a pool that leaves its engines' models, adapters and roles unchanged. */
  public PoolSettings(
      String name, ServiceKind kind, int maxConcurrentPerServer, boolean checksFencing) {
    this(name, kind, maxConcurrentPerServer, checksFencing, Map.of(), Map.of(), Optional.empty());
  }

  /** Returns whether the settings specify models, adapters or a role for the pool's engines. */
  public boolean configuresEngines() {
    return !models.isEmpty() || !adapters.isEmpty() || role.isPresent();
  }
}
