package org.teaseldeal.gateway.plan;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** One published configuration; never changed, only replaced by one with a higher version. */
public final class GatewayPlan {
  private final long version;
  private final RouteTable routes;
  private final int routeCount;
  private final Map<String, PlannedService> services = new HashMap<>();
  private final Map<String, PrepaidCustomer> customers = new HashMap<>();
  private final Map<String, PrepaidCustomer> customersByKey = new HashMap<>();
  private final CallerLimits limits;

  /** Creates a plan. */
  public GatewayPlan(
      long version,
      List<Route> routes,
      Collection<PlannedService> services,
      Collection<PrepaidCustomer> customers,
      CallerLimits limits) {
    this.version = version;
    this.routes = new RouteTable(routes);
    this.routeCount = routes.size();
    this.limits = limits;
    services.forEach(service -> this.services.put(service.name(), service));
    for (PrepaidCustomer customer : customers) {
      this.customers.put(customer.name(), customer);
      customer.keys().forEach(key -> customersByKey.put(key, customer));
    }
  }

  /** Rises with each publication, in uneven steps. */
  public long version() {
    return version;
  }

  /** How many routes there are. */
  public int routeCount() {
    return routeCount;
  }

  /** What callers may send. */
  public CallerLimits limits() {
    return limits;
  }

  /** The route of a request. */
  public Optional<Route> route(String host, String target) {
    return routes.find(host, target);
  }

  /** A service by its name. */
  public Optional<PlannedService> service(String name) {
    return Optional.ofNullable(services.get(name));
  }

  /** Whether callers need keys at all. */
  public boolean hasCustomers() {
    return !customers.isEmpty();
  }

  /** The customer that holds {@code key}. */
  public Optional<PrepaidCustomer> customerOfKey(String key) {
    return Optional.ofNullable(customersByKey.get(key));
  }

  /** A customer by its name. */
  public Optional<PrepaidCustomer> customer(String name) {
    return Optional.ofNullable(customers.get(name));
  }
}
