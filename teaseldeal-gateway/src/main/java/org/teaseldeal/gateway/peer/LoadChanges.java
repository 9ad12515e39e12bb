package org.teaseldeal.gateway.peer;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Tracks when the load of each server last changed, so that only changes need to be sent. */
final class LoadChanges {
  private record TrackedLoad(PeerLoad load, Instant changedAt) {}

  private final Map<Integer, TrackedLoad> byServer = new HashMap<>();

  /** Records the present loads; a server that {@code loads} doesn't contain has no load. */
  void update(Map<Integer, PeerLoad> loads, Instant now) {
    loads.forEach(
        (server, load) -> {
          TrackedLoad known = byServer.get(server);
          if (known == null || !known.load().equals(load)) {
            byServer.put(server, new TrackedLoad(load, now));
          }
        });
    byServer.replaceAll(
        (server, known) ->
            loads.containsKey(server) || known.load().equals(PeerLoad.NONE)
                ? known
                : new TrackedLoad(PeerLoad.NONE, now));
  }

  /**
   * The servers whose load has changed since {@code earliest}. Servers that have had no load since
   * before that time are forgotten.
   */
  Set<Integer> changedSince(Instant earliest) {
    Set<Integer> changed = new HashSet<>();
    byServer
        .entrySet()
        .removeIf(
            entry -> {
              TrackedLoad known = entry.getValue();
              boolean recent = !known.changedAt().isBefore(earliest);
              if (recent) {
                changed.add(entry.getKey());
              }
              return !recent && known.load().equals(PeerLoad.NONE);
            });
    return changed;
  }

  /** The loads of {@code servers}, including loads of zero. */
  List<LoadMessage.ServerLoad> loadsOf(Set<Integer> servers) {
    List<LoadMessage.ServerLoad> loads = new ArrayList<>();
    for (int server : servers) {
      TrackedLoad known = byServer.get(server);
      PeerLoad load = known == null ? PeerLoad.NONE : known.load();
      loads.add(new LoadMessage.ServerLoad(server, load.running(), load.promptTokensAhead()));
    }
    return loads;
  }
}
