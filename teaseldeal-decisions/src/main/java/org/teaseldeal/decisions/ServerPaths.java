package org.teaseldeal.decisions;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.teaseldeal.api.BackendServerId;
import org.teaseldeal.api.Durations;

/**
 * Tracks whether the network path from this instance to each backend server works.
 *
 * <p>An instance may be partitioned from backend servers that serve all other instances. Its
 * failures then say something about its path and nothing about the servers. Only a failure of many
 * paths at the same time distinguishes the two, so each failure is checked by probes: a probe opens
 * a new connection to the server and sends a request that any server answers at once.
 *
 * <p>A path counts as lost as soon as a connection can't be opened, and works again once a probe is
 * answered. A connection that can be opened but stays silent says little by itself, because the
 * server may be busy. It counts only while no server at all answers this instance.
 */
public final class ServerPaths {
  /** Why a path counts as lost. */
  public enum Evidence {
    /** A connection could not be opened. */
    CONNECT_FAILED,
    /** A probe was not answered. */
    NO_ANSWER
  }

  /** Receives the changes of paths. */
  public interface Listener {
    /** Called when the path to {@code server} is lost. */
    void onLost(BackendServerId server, Evidence evidence);

    /** Called when the path to {@code server} works again, {@code lostFor} after its loss. */
    void onRegained(BackendServerId server, Duration lostFor);
  }

  /** The silence of all servers after which the path to a server with open requests is probed. */
  private static final Duration MAX_SILENCE_OF_ALL = Duration.ofMillis(400);

  /** The silence of one server, while others answer, after which its path is probed. */
  private static final Duration MAX_SILENCE_OF_ONE = Duration.ofMillis(1500);

  /** A server from which something was received within this time needs no probe. */
  private static final Duration RECENTLY = Duration.ofMillis(250);

  /** The minimum interval between two probes of a path that turned out to work. */
  private static final Duration MIN_SUSPICION_INTERVAL = Duration.ofSeconds(3);

  /** The number of other paths that are probed when one is lost. */
  private static final int PROBED_NEIGHBOURS = 2;

  /**
   * The number of lost paths from which on all are assumed to be lost if nothing was received since
   * on any. That so many servers fail while none answers is unlikely, unless the cause is here.
   */
  private static final int MIN_LOST_OF_ALL = 3;

  private static final Duration FIRST_PROBE_INTERVAL = Duration.ofMillis(250);
  private static final Duration MAX_PROBE_INTERVAL = Duration.ofSeconds(2);

  /** While all paths are lost, the end of the partition has to be noticed within a second. */
  private static final Duration MAX_PROBE_INTERVAL_ALL_LOST = Duration.ofMillis(500);

  private static final int MAX_PROBES_IN_FLIGHT = 8;

  private static final class Path {
    private Instant receivedAt = Instant.MIN;
    private Instant suspectedAt = Instant.MIN;
    private Instant lostAt = Instant.MAX;
    private Evidence evidence = Evidence.CONNECT_FAILED;
    private Instant probeAt = Instant.MAX;
    private Instant probeStartedAt = Instant.MIN;
    private Duration probeInterval = FIRST_PROBE_INTERVAL;
    private boolean probing;

    private boolean isLost() {
      return !lostAt.equals(Instant.MAX);
    }
  }

  private final Map<BackendServerId, Path> paths = new LinkedHashMap<>();
  private final Listener listener;
  private int probesInFlight;
  private int lostPaths;
  private Instant firstLostAt = Instant.MAX;
  private Instant lastReceivedAt = Instant.MIN;
  private Instant lastRegainedAt = Instant.MIN;
  private boolean probesDue;

  /** Creates paths whose changes are reported to {@code listener}. */
  public ServerPaths(Listener listener) {
    this.listener = listener;
  }

  /** Replaces the set of servers; the state of those that stay is kept. */
  public void onListed(Set<BackendServerId> listed) {
    paths
        .entrySet()
        .removeIf(entry -> !listed.contains(entry.getKey()) && forget(entry.getValue()));
    listed.forEach(id -> paths.computeIfAbsent(id, added -> new Path()));
    countLost();
  }

  private boolean forget(Path path) {
    if (path.probing) {
      probesInFlight--;
    }
    return true;
  }

  /** Discards what is known of the path to a server that has been replaced under its id. */
  public void onReplaced(BackendServerId server) {
    Path replaced = paths.replace(server, new Path());
    if (replaced != null) {
      forget(replaced);
      countLost();
    }
  }

  /** Returns whether requests to {@code server} can't be sent from here at present. */
  public boolean isLost(BackendServerId server) {
    return isUnconnectable(server) || areAllLost();
  }

  /** Returns whether no connection to {@code server} could be opened since its path was lost. */
  public boolean isUnconnectable(BackendServerId server) {
    Path path = paths.get(server);
    return path != null && path.isLost() && path.evidence == Evidence.CONNECT_FAILED;
  }

  /** Returns whether this instance reaches no server, as far as it can tell. */
  public boolean areAllLost() {
    return lostPaths >= Math.min(MIN_LOST_OF_ALL, Math.max(1, paths.size()))
        && lastReceivedAt.isBefore(firstLostAt);
  }

  /**
   * Returns whether all paths are lost and no connection could be opened on any of them, so that a
   * request sent from here would fail as well.
   */
  public boolean canConnectNowhere() {
    return areAllLost()
        && paths.values().stream()
            .allMatch(path -> !path.isLost() || path.evidence == Evidence.CONNECT_FAILED);
  }

  /** Returns the number of servers that can't be reached from here. */
  public int lostCount() {
    return areAllLost() ? paths.size() : lostPaths;
  }

  /** Returns when something was last received on any path. */
  public Instant lastReceivedAt() {
    return lastReceivedAt;
  }

  /**
   * Records that bytes of an answer arrived.
   *
   * @param connectedAt when the request was sent; a connection that was opened before the path was
   *     lost may outlive it, so its bytes don't prove that new ones can be opened
   */
  public void onReceived(BackendServerId server, Instant connectedAt, Instant now) {
    Path path = paths.get(server);
    if (path == null) {
      return;
    }
    path.receivedAt = now;
    lastReceivedAt = now;
    if (path.isLost() && connectedAt.isAfter(path.lostAt)) {
      regain(server, path, now);
    }
  }

  /** Records that a connection for a request could not be opened. */
  public void onConnectFailed(BackendServerId server, Instant now) {
    Path path = paths.get(server);
    if (path != null) {
      lose(server, path, Evidence.CONNECT_FAILED, now);
      scheduleProbe(path, now);
    }
  }

  /** Records that a connection broke before its answer was complete. */
  public void onBroken(BackendServerId server, Instant now) {
    Path path = paths.get(server);
    if (path != null && !path.isLost()) {
      suspect(path, now);
    }
  }

  /** Records that a request has received nothing for {@code silence}. */
  public void onSilent(BackendServerId server, Duration silence, Instant now) {
    Path path = paths.get(server);
    if (path == null || path.isLost()) {
      return;
    }
    boolean allSilent =
        silence.compareTo(MAX_SILENCE_OF_ALL) >= 0
            && lastReceivedAt.plus(MAX_SILENCE_OF_ALL).isBefore(now);
    boolean oneSilent =
        silence.compareTo(MAX_SILENCE_OF_ONE) >= 0
            && path.receivedAt.plus(MAX_SILENCE_OF_ONE).isBefore(now);
    if (allSilent || oneSilent) {
      boolean newSuspicion = suspect(path, now);
      if (allSilent && newSuspicion) {
        suspectNeighbours(now);
      }
    }
  }

  /** Returns whether a probe is due or planned. */
  public boolean hasProbesDue() {
    return probesDue;
  }

  /** Returns the servers to probe now; each has to be followed by a result. */
  public List<BackendServerId> takeDueProbes(Instant now) {
    if (!probesDue) {
      return List.of();
    }
    List<BackendServerId> due = new ArrayList<>();
    boolean more = false;
    for (Map.Entry<BackendServerId, Path> entry : paths.entrySet()) {
      Path path = entry.getValue();
      more |= !path.probeAt.equals(Instant.MAX);
      if (path.probing || now.isBefore(path.probeAt) || probesInFlight >= MAX_PROBES_IN_FLIGHT) {
        continue;
      }
      path.probing = true;
      path.probeStartedAt = now;
      path.probeAt = Instant.MAX;
      probesInFlight++;
      due.add(entry.getKey());
    }
    probesDue = more;
    return due;
  }

  /** Records that a probe that was due was not sent and is due again at {@code at}. */
  public void postponeProbe(BackendServerId server, Instant at) {
    Path path = endProbe(server);
    if (path != null) {
      scheduleProbe(path, at);
    }
  }

  /** Records that a probe was answered, whatever the answer. */
  public void onProbeAnswered(BackendServerId server, Instant now) {
    Path path = endProbe(server);
    if (path == null) {
      return;
    }
    path.receivedAt = now;
    lastReceivedAt = now;
    if (path.isLost()) {
      regain(server, path, now);
    }
  }

  /** Records that a probe failed. */
  public void onProbeFailed(BackendServerId server, Evidence evidence, Instant now) {
    Path path = endProbe(server);
    if (path == null) {
      return;
    }
    boolean busy = evidence == Evidence.NO_ANSWER && path.receivedAt.isAfter(path.probeStartedAt);
    if (busy) {
      return;
    }
    boolean confirmed = path.isLost();
    lose(server, path, evidence, now);
    if (path.probeStartedAt.isBefore(lastRegainedAt)) {
      // Another path came back while this probe was under way, so this one may be back as well.
      path.probeInterval = FIRST_PROBE_INTERVAL;
    } else if (confirmed) {
      Duration doubled = Durations.times(path.probeInterval, 2);
      Duration max = areAllLost() ? MAX_PROBE_INTERVAL_ALL_LOST : MAX_PROBE_INTERVAL;
      path.probeInterval = doubled.compareTo(max) > 0 ? max : doubled;
    }
    scheduleProbe(path, now.plus(path.probeInterval));
  }

  private @Nullable Path endProbe(BackendServerId server) {
    Path path = paths.get(server);
    if (path == null || !path.probing) {
      return null;
    }
    path.probing = false;
    probesInFlight--;
    return path;
  }

  private void lose(BackendServerId server, Path path, Evidence evidence, Instant now) {
    if (path.isLost()) {
      if (evidence == Evidence.CONNECT_FAILED) {
        path.evidence = evidence;
      }
      return;
    }
    path.lostAt = now;
    path.evidence = evidence;
    path.probeInterval = FIRST_PROBE_INTERVAL;
    countLost();
    listener.onLost(server, evidence);
    suspectNeighbours(now);
  }

  private void regain(BackendServerId server, Path path, Instant now) {
    Duration lostFor = Duration.between(path.lostAt, now);
    path.lostAt = Instant.MAX;
    path.probeAt = Instant.MAX;
    lastRegainedAt = now;
    countLost();
    listener.onRegained(server, lostFor);
    paths.values().stream()
        .filter(other -> other.isLost() && !other.probing)
        .forEach(other -> scheduleProbe(other, now));
  }

  /** Returns whether the path was not suspected already. */
  private boolean suspect(Path path, Instant now) {
    if (path.probing
        || !path.probeAt.equals(Instant.MAX)
        || now.isBefore(path.suspectedAt.plus(MIN_SUSPICION_INTERVAL))) {
      return false;
    }
    path.suspectedAt = now;
    scheduleProbe(path, now);
    return true;
  }

  private void suspectNeighbours(Instant now) {
    List<Path> silent =
        paths.values().stream()
            .filter(path -> !path.isLost() && path.receivedAt.plus(RECENTLY).isBefore(now))
            .sorted(Comparator.comparing(path -> path.receivedAt))
            .toList();
    int probed = 0;
    for (Path path : silent) {
      if (probed < PROBED_NEIGHBOURS && suspect(path, now)) {
        probed++;
      }
    }
  }

  private void scheduleProbe(Path path, Instant at) {
    if (at.isBefore(path.probeAt)) {
      path.probeAt = at;
    }
    probesDue = true;
  }

  private void countLost() {
    lostPaths = 0;
    firstLostAt = Instant.MAX;
    for (Path path : paths.values()) {
      if (path.isLost()) {
        lostPaths++;
        firstLostAt = path.lostAt.isBefore(firstLostAt) ? path.lostAt : firstLostAt;
      }
    }
  }
}
