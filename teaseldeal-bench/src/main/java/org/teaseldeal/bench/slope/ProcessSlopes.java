package org.teaseldeal.bench.slope;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.ToDoubleFunction;
import org.teaseldeal.bench.demo.IdleFleet;
import org.teaseldeal.bench.demo.IdleFleet.Cost;
import org.teaseldeal.bench.slope.Slope.Point;

/** Measures the cost of an idle router process by the number of routers. */
final class ProcessSlopes {
  private static final int[] ROUTERS = {1, 3, 9};

  private final Path launchers;

  ProcessSlopes(Path launchers) {
    this.launchers = launchers;
  }

  List<Slope> measure() throws IOException {
    List<Point> least = new ArrayList<>();
    List<Point> most = new ArrayList<>();
    List<Point> leastShare = new ArrayList<>();
    List<Point> mostShare = new ArrayList<>();
    for (int routers : ROUTERS) {
      List<Cost> costs = IdleFleet.measure(launchers, routers);
      least.add(new Point(routers, least(costs, Cost::residentBytes)));
      most.add(new Point(routers, most(costs, Cost::residentBytes)));
      leastShare.add(new Point(routers, least(costs, Cost::coreShare)));
      mostShare.add(new Point(routers, most(costs, Cost::coreShare)));
    }
    return List.of(
        Slope.fit("resident octets, smallest router", "router", least),
        Slope.fit("resident octets, largest router", "router", most),
        Slope.fit("core share, least busy router", "router", leastShare),
        Slope.fit("core share, busiest router", "router", mostShare));
  }

  private static double least(List<Cost> costs, ToDoubleFunction<Cost> value) {
    return costs.stream().mapToDouble(value).min().orElseThrow();
  }

  private static double most(List<Cost> costs, ToDoubleFunction<Cost> value) {
    return costs.stream().mapToDouble(value).max().orElseThrow();
  }
}
