package org.teaseldeal.gateway.plan;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * One published version of the configuration. It is immutable and only replaced by one with a
 * higher version.
 */
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

  /** Returns the version, which rises with each publication by varying amounts. */
  public long version() {
    return version;
  }

  /** Returns the number of routes. */
  public int routeCount() {
    return routeCount;
  }

  /** Returns the limits on callers' requests. */
  public CallerLimits limits() {
    return limits;
  }

  /** Returns the route of a request. */
  public Optional<Route> route(String host, String target) {
    return routes.find(host, target);
  }

  /** Returns the service with the given name. */
  public Optional<PlannedService> service(String name) {
    return Optional.ofNullable(services.get(name));
  }

  /** Returns whether any customers are configured, so that callers need keys. */
  public boolean hasCustomers() {
    return !customers.isEmpty();
  }

  /** Returns the customer to which {@code key} belongs. */
  public Optional<PrepaidCustomer> customerOfKey(String key) {
    return Optional.ofNullable(customersByKey.get(key));
  }

  /** Returns the customer with the given name. */
  public Optional<PrepaidCustomer> customer(String name) {
    return Optional.ofNullable(customers.get(name));
  }
}
