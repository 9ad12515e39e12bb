package org.teaseldeal.gateway.peer;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Sums of loads by server. */
final class LoadSums {
  private final Map<Integer, OthersLoad> byServer = new HashMap<>();

  void add(Iterable<LoadNews.ServerLoad> loads) {
    for (LoadNews.ServerLoad load : loads) {
      byServer.merge(
          load.server(),
          new OthersLoad(load.running(), load.promptTokensAhead()),
          OthersLoad::plus);
    }
  }

  OthersLoad of(int server) {
    return byServer.getOrDefault(server, OthersLoad.NONE);
  }

  /** The sum for each server that has any load. */
  List<LoadNews.ServerLoad> toList() {
    return byServer.entrySet().stream()
        .map(
            entry ->
                new LoadNews.ServerLoad(
                    entry.getKey(),
                    entry.getValue().running(),
                    entry.getValue().promptTokensAhead()))
        .toList();
  }

  Map<Integer, OthersLoad> asMap() {
    return byServer;
  }
}
