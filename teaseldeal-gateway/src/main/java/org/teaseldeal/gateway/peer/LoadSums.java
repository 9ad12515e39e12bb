package org.teaseldeal.gateway.peer;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Sums of loads by server. */
final class LoadSums {
  private final Map<Integer, PeerLoad> byServer = new HashMap<>();

  void add(Iterable<LoadMessage.ServerLoad> loads) {
    for (LoadMessage.ServerLoad load : loads) {
      byServer.merge(
          load.serverHash(),
          new PeerLoad(load.running(), load.promptTokensAhead()),
          PeerLoad::plus);
    }
  }

  PeerLoad of(int server) {
    return byServer.getOrDefault(server, PeerLoad.NONE);
  }

  /** The sum for each server that has any load. */
  List<LoadMessage.ServerLoad> toList() {
    return byServer.entrySet().stream()
        .map(
            entry ->
                new LoadMessage.ServerLoad(
                    entry.getKey(),
                    entry.getValue().running(),
                    entry.getValue().promptTokensAhead()))
        .toList();
  }

  Map<Integer, PeerLoad> asMap() {
    return byServer;
  }
}
