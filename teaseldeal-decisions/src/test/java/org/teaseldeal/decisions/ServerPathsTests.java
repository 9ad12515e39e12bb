package org.teaseldeal.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.teaseldeal.api.BackendServerId;
import org.teaseldeal.decisions.ServerPaths.Evidence;

class ServerPathsTests {
  private static final Duration STEP = Duration.ofMillis(20);
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(250);

  private final List<String> changes = new ArrayList<>();
  private final ServerPaths paths =
      new ServerPaths(
          new ServerPaths.Listener() {
            @Override
            public void onLost(BackendServerId server, Evidence evidence) {
              changes.add("lost " + server.name());
            }

            @Override
            public void onRegained(BackendServerId server, Duration lostFor) {
              changes.add("regained " + server.name());
            }
          });
  private Instant now = Instant.EPOCH.plusSeconds(1000);
  private final List<BackendServerId> failing = new ArrayList<>();
  private final List<Instant> failAt = new ArrayList<>();
  private int probes;

  private static Set<BackendServerId> servers(int count) {
    return IntStream.range(0, count)
        .mapToObj(ServerPathsTests::server)
        .collect(Collectors.toCollection(TreeSet::new));
  }

  private static BackendServerId server(int number) {
    return new BackendServerId("s%02d".formatted(number));
  }

  /** Advances time; probes of servers that {@code answers} accepts are answered at once. */
  private void play(Duration length, Predicate<BackendServerId> answers, Evidence evidence) {
    Instant end = now.plus(length);
    while (now.isBefore(end)) {
      for (BackendServerId server : paths.takeDueProbes(now)) {
        probes++;
        if (answers.test(server)) {
          paths.onProbeAnswered(server, now);
        } else {
          failing.add(server);
          failAt.add(now.plus(CONNECT_TIMEOUT));
        }
      }
      while (!failing.isEmpty() && !now.isBefore(failAt.getFirst())) {
        failAt.removeFirst();
        paths.onProbeFailed(failing.removeFirst(), evidence, now);
      }
      now = now.plus(STEP);
    }
  }

  /** A crashed server must not make the instance avoid its paths to the others. */
  @Test
  void losesOnlyThePathToACrashedServer() {
    paths.onListed(servers(16));
    paths.onConnectFailed(server(3), now);
    play(Duration.ofSeconds(5), server -> !server.equals(server(3)), Evidence.CONNECT_FAILED);
    assertEquals(List.of("lost s03"), changes);
    assertFalse(paths.areAllLost());
    assertTrue(probes < 10, probes + " probes for one crashed server");
  }

  /** Requests of a partitioned instance would otherwise time out at one server after the other. */
  @Test
  void concludesWithinASecondThatAllPathsAreLost() {
    paths.onListed(servers(90));
    paths.onConnectFailed(server(3), now);
    play(Duration.ofSeconds(1), server -> false, Evidence.CONNECT_FAILED);
    assertTrue(paths.areAllLost());
    assertTrue(paths.isLost(server(89)));
  }

  /** After a partition the instance must use its own paths again within a second. */
  @Test
  void regainsAllPathsWithinASecondOfTheEndOfAPartition() {
    paths.onListed(servers(16));
    paths.onConnectFailed(server(3), now);
    play(Duration.ofSeconds(12), server -> false, Evidence.CONNECT_FAILED);
    play(Duration.ofSeconds(1), server -> true, Evidence.CONNECT_FAILED);
    assertEquals(0, paths.lostCount());
  }

  /** Open connections may go silent while new ones are accepted, and remain silent as well. */
  @Test
  void noticesThatAllServersAreSilent() {
    paths.onListed(servers(16));
    paths.onReceived(server(1), now, now);
    play(Duration.ofMillis(420), server -> false, Evidence.NO_ANSWER);
    paths.onSilent(server(2), Duration.ofMillis(420), now);
    play(Duration.ofSeconds(1), server -> false, Evidence.NO_ANSWER);
    assertTrue(paths.areAllLost());
  }

  /** A server that falls silent for a second while the others answer is busy, not unreachable. */
  @Test
  void keepsUsingAServerThatFallsSilentForASecond() {
    paths.onListed(servers(3));
    for (int i = 0; i < 50; i++) {
      paths.onReceived(server(0), now, now);
      paths.onSilent(server(1), STEP.multipliedBy(i), now);
      play(STEP, server -> false, Evidence.NO_ANSWER);
    }
    assertFalse(paths.isLost(server(1)));
  }

  /** Connections that were opened before a partition may live on while new ones are refused. */
  @Test
  void isNotMisledByBytesOnConnectionsThatOutliveThePath() {
    paths.onListed(servers(4));
    Instant before = now;
    paths.onConnectFailed(server(0), now);
    now = now.plus(STEP);
    paths.onReceived(server(0), before, now);
    assertTrue(paths.isLost(server(0)));
    assertFalse(paths.areAllLost());
  }

  /** A partition that lasts must not flood the network with probes. */
  @Test
  void limitsTheRateOfProbes() {
    paths.onListed(servers(90));
    paths.onConnectFailed(server(3), now);
    play(Duration.ofSeconds(12), server -> false, Evidence.CONNECT_FAILED);
    assertTrue(probes <= 12 * 2 * 90, probes + " probes");
  }
}
