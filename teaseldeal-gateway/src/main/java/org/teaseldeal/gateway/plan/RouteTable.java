package org.teaseldeal.gateway.plan;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * Finds the route of a request: among its host's routes, the one with the longest matching path
 * prefix.
 */
public final class RouteTable {
  private static final Comparator<Route> LONGEST_FIRST =
      Comparator.comparingInt(route -> -route.pathPrefix().length());

  private final Map<String, List<Route>> routesByHost = new HashMap<>();

  /** Creates a table of {@code routes}. */
  public RouteTable(List<Route> routes) {
    for (Route route : routes) {
      routesByHost
          .computeIfAbsent(normalizedHost(route.host()), host -> new ArrayList<>())
          .add(route);
    }
    routesByHost.values().forEach(hostRoutes -> hostRoutes.sort(LONGEST_FIRST));
  }

  /**
   * Returns the route of {@code target} at {@code host}.
   *
   * @param target a path with or without a query
   */
  public Optional<Route> find(String host, String target) {
    List<Route> hostRoutes = routesByHost.getOrDefault(normalizedHost(host), List.of());
    int query = target.indexOf('?');
    String path = query < 0 ? target : target.substring(0, query);
    for (Route route : hostRoutes) {
      if (path.startsWith(route.pathPrefix())) {
        return Optional.of(route);
      }
    }
    return Optional.empty();
  }

  /** Returns the host in lower case and without a port, for comparison. */
  private static String normalizedHost(String host) {
    int colon = host.lastIndexOf(':');
    String name = colon < 0 || host.endsWith("]") ? host : host.substring(0, colon);
    return name.toLowerCase(Locale.ROOT);
  }
}
