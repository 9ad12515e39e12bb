package org.teaseldeal.gateway.peer;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Tracks when the load of each server last changed, so that only changes need to be sent. */
final class ChangedLoads {
  private record Known(OthersLoad load, Instant changed) {}

  private final Map<Integer, Known> byServer = new HashMap<>();

  /** Records the present loads; a server that {@code loads} doesn't contain has no load. */
  void update(Map<Integer, OthersLoad> loads, Instant now) {
    loads.forEach(
        (server, load) -> {
          Known known = byServer.get(server);
          if (known == null || !known.load().equals(load)) {
            byServer.put(server, new Known(load, now));
          }
        });
    byServer.replaceAll(
        (server, known) ->
            loads.containsKey(server) || known.load().equals(OthersLoad.NONE)
                ? known
                : new Known(OthersLoad.NONE, now));
  }

  /**
   * The servers whose load has changed since {@code earliest}. Servers that have had no load since
   * before that time are forgotten.
   */
  Set<Integer> since(Instant earliest) {
    Set<Integer> changed = new HashSet<>();
    byServer
        .entrySet()
        .removeIf(
            entry -> {
              Known known = entry.getValue();
              boolean recent = !known.changed().isBefore(earliest);
              if (recent) {
                changed.add(entry.getKey());
              }
              return !recent && known.load().equals(OthersLoad.NONE);
            });
    return changed;
  }

  /** The loads of {@code servers}, including loads of zero. */
  List<LoadNews.ServerLoad> loadsOf(Set<Integer> servers) {
    List<LoadNews.ServerLoad> loads = new ArrayList<>();
    for (int server : servers) {
      Known known = byServer.get(server);
      OthersLoad load = known == null ? OthersLoad.NONE : known.load();
      loads.add(new LoadNews.ServerLoad(server, load.running(), load.promptTokensAhead()));
    }
    return loads;
  }
}
