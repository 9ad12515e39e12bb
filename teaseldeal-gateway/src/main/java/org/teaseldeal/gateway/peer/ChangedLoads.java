package org.teaseldeal.gateway.peer;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Remembers when the load of each server last changed, so that only changes need to be told. */
final class ChangedLoads {
  private record Known(OthersLoad load, Instant changed) {}

  private final Map<Integer, Known> byServer = new HashMap<>();

  /** Takes note of what is outstanding now; a server that isn't among {@code loads} has none. */
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

  /** The servers whose load has changed since {@code earliest}; forgets those long without any. */
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

  /** The loads of {@code servers}, zero among them. */
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
