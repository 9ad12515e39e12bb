package org.teaseldeal.gateway.plan;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** Finds the route of a request: of its host's routes, the one with the longest matching prefix. */
public final class RouteTable {
  private static final Comparator<Route> LONGEST_FIRST =
      Comparator.comparingInt(route -> -route.pathPrefix().length());

  private final Map<String, List<Route>> byHost = new HashMap<>();

  /** Creates a table of {@code routes}. */
  public RouteTable(List<Route> routes) {
    for (Route route : routes) {
      byHost.computeIfAbsent(normalized(route.host()), host -> new ArrayList<>()).add(route);
    }
    byHost.values().forEach(ofHost -> ofHost.sort(LONGEST_FIRST));
  }

  /** The route of {@code target}, a path with or without a query, at {@code host}. */
  public Optional<Route> find(String host, String target) {
    List<Route> ofHost = byHost.getOrDefault(normalized(host), List.of());
    int query = target.indexOf('?');
    String path = query < 0 ? target : target.substring(0, query);
    for (Route route : ofHost) {
      if (path.startsWith(route.pathPrefix())) {
        return Optional.of(route);
      }
    }
    return Optional.empty();
  }

  /** Lower case and without a port, as hosts are compared. */
  private static String normalized(String host) {
    int colon = host.lastIndexOf(':');
    String name = colon < 0 || host.endsWith("]") ? host : host.substring(0, colon);
    return name.toLowerCase(Locale.ROOT);
  }
}
