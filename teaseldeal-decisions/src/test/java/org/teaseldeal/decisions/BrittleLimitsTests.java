package org.teaseldeal.decisions;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.teaseldeal.api.BackendServerId;
import org.teaseldeal.decisions.BrittleLimits.FleetLoad;

class BrittleLimitsTests {
  private static final Instant START = Instant.EPOCH.plusSeconds(1000);
  private static final BackendServerId SERVER = new BackendServerId("s0");

  private final BrittleLimits limits = new BrittleLimits(new Random(1));

  @Test
  void allowsAnyNumberUnlessAnnounced() {
    assertTrue(limits.hasRoom(SERVER, 6, load(100), START));
    limits.onAnnounced(20, START);
    assertTrue(limits.hasRoom(SERVER, 6, load(2), START));
    assertFalse(limits.hasRoom(SERVER, 6, load(3), START));
    limits.onNotAnnounced();
    assertTrue(limits.hasRoom(SERVER, 6, load(100), START));
  }

  @Test
  void sendsNothingForAWhileAfterARejection() {
    limits.onAnnounced(20, START);
    limits.onRejected(SERVER, 6, load(2), START);
    assertFalse(limits.hasRoom(SERVER, 6, load(0), START.plusMillis(100)));
    assertTrue(limits.hasRoom(SERVER, 6, load(0), START.plusSeconds(2)));
  }

  /** A server that has just fallen over must not get its whole load at once when it is back. */
  @Test
  void startsAServerThatComesBackWithLittle() {
    limits.onAnnounced(20, START);
    limits.onListed(SERVER, 64, 2, START);
    assertTrue(limits.hasRoom(SERVER, 64, load(7), START));
    assertFalse(limits.hasRoom(SERVER, 64, load(8), START));
    for (int i = 1; i <= 20; i++) {
      limits.hasRoom(SERVER, 64, load(31), START.plusMillis(i * 250));
    }
    assertTrue(limits.hasRoom(SERVER, 64, load(30), START.plusMillis(5250)));
  }

  private static FleetLoad load(int own) {
    return new FleetLoad(own, 0, 2);
  }

  /**
   * Servers that are brittle fall over, one after the other, if instances that know each other's
   * requests only with a delay press them with more than they can serve. At most 2 + a tenth of
   * them may, and callers must be served better than without limits.
   */
  @ParameterizedTest
  @CsvSource({
    "7, 6, 6, 20, 5",
    "7, 6, 6, 5, 5",
    "9, 4, 6, 10, 5",
    "9, 13, 64, 20, 3",
    "61, 6, 6, 20, 3",
    "90, 12, 64, 10, 1"
  })
  void fewServersFallOverUnderLoadBeyondTheirCapacity(
      int instances, int servers, int slots, int maxRejections, int seeds) {
    for (long seed = 1; seed <= seeds; seed++) {
      Fleet limited = new Fleet(instances, servers, slots, maxRejections, seed);
      limited.play(Duration.ofSeconds(12), 1.33);
      Fleet unlimited = new Fleet(instances, servers, slots, maxRejections, seed);
      unlimited.limited = false;
      unlimited.play(Duration.ofSeconds(12), 1.33);
      int allowed = 2 + servers / 10;
      assertTrue(
          limited.falls <= allowed,
          "%d falls, %d allowed, seed %d".formatted(limited.falls, allowed, seed));
      assertTrue(
          limited.servedShare() > unlimited.servedShare(),
          "served %.3f, without limits %.3f, seed %d"
              .formatted(limited.servedShare(), unlimited.servedShare(), seed));
    }
  }

  /** The same load without limits shows that the fleet in this test is one that falls over. */
  @Test
  void manyServersFallOverWithoutLimits() {
    Fleet fleet = new Fleet(7, 6, 6, 20, 1);
    fleet.limited = false;
    fleet.play(Duration.ofSeconds(12), 1.33);
    assertTrue(fleet.falls > 2, fleet.falls + " falls");
  }

  /** Instances in front of brittle servers, each of which sees the others' load of a while ago. */
  private static final class Fleet {
    private static final int STEP_MILLIS = 1;
    private static final int LOAD_DELAY_MILLIS = 80;
    private static final int WORK_MILLIS = 43;
    private static final int WAITING_PLACES = 2;
    private static final int MAX_WAIT_MILLIS = 400;
    private static final int DOWN_MILLIS = 3000;

    private final int servers;
    private final int slots;
    private final int maxRejections;
    private final Random random;
    private final List<BrittleLimits> limits;
    private final int[][] own;
    private final Deque<int[]> history = new ArrayDeque<>();
    private final int[] outstanding;
    private final int[] downUntil;
    private final List<Deque<Integer>> rejections;
    private final List<Deque<Integer>> waiting;

    /** Ends of running requests: time, server, instance, start. */
    private final PriorityQueue<int[]> ends =
        new PriorityQueue<>(Comparator.comparingInt((int[] end) -> end[0]));

    private boolean limited = true;
    private int falls;
    private int arrived;
    private int served;

    Fleet(int instances, int servers, int slots, int maxRejections, long seed) {
      this.servers = servers;
      this.slots = slots;
      this.maxRejections = maxRejections;
      this.random = new Random(seed);
      limits =
          IntStream.range(0, instances)
              .mapToObj(i -> new BrittleLimits(new Random(seed + i)))
              .toList();
      own = new int[instances][servers];
      outstanding = new int[servers];
      downUntil = new int[servers];
      rejections = new ArrayList<>();
      waiting = new ArrayList<>();
      IntStream.range(0, servers).forEach(i -> rejections.add(new ArrayDeque<>()));
      IntStream.range(0, instances).forEach(i -> waiting.add(new ArrayDeque<>()));
    }

    double servedShare() {
      return (double) served / arrived;
    }

    void play(Duration length, double load) {
      double perMilli = load * servers * slots / WORK_MILLIS;
      limits.forEach(each -> each.onAnnounced(maxRejections, at(0)));
      for (int now = 0; now < length.toMillis(); now += STEP_MILLIS) {
        finish(now);
        history.addLast(outstanding.clone());
        if (history.size() > LOAD_DELAY_MILLIS) {
          history.removeFirst();
        }
        for (double due = perMilli; random.nextDouble() < due; due--) {
          arrived++;
          waiting.get(random.nextInt(limits.size())).addLast(now);
        }
        for (int instance = 0; instance < limits.size(); instance++) {
          sendWaiting(instance, now);
        }
      }
    }

    private void finish(int now) {
      while (!ends.isEmpty() && ends.peek()[0] <= now) {
        int[] end = ends.remove();
        outstanding[end[1]]--;
        own[end[2]][end[1]]--;
        if (now >= downUntil[end[1]]) {
          served++;
        }
        limits.get(end[2]).onAnnounced(maxRejections, at(now));
        limits.get(end[2]).onAnswered(Duration.ofMillis(now - end[3]));
      }
    }

    private void sendWaiting(int instance, int now) {
      Deque<Integer> queue = waiting.get(instance);
      while (!queue.isEmpty()) {
        if (now - queue.peekFirst() > MAX_WAIT_MILLIS) {
          queue.removeFirst();
        } else if (!send(instance, now)) {
          return;
        } else {
          queue.removeFirst();
        }
      }
    }

    private boolean send(int instance, int now) {
      int[] known = history.peekFirst();
      int best = -1;
      int first = random.nextInt(servers);
      for (int i = 0; i < servers; i++) {
        int server = (first + i) % servers;
        boolean room =
            !limited
                || limits.get(instance).hasRoom(id(server), slots, load(instance, server), at(now));
        if (now >= downUntil[server] && room && (best < 0 || known[server] < known[best])) {
          best = server;
        }
      }
      if (best < 0) {
        return false;
      }
      arrive(instance, best, now);
      return true;
    }

    private FleetLoad load(int instance, int server) {
      int othersOwn = Math.max(0, history.peekFirst()[server] - own[instance][server]);
      return new FleetLoad(own[instance][server], othersOwn, limits.size());
    }

    private void arrive(int instance, int server, int now) {
      if (outstanding[server] >= slots + WAITING_PLACES) {
        reject(instance, server, now);
        return;
      }
      limits.get(instance).onSent(id(server), at(now));
      outstanding[server]++;
      own[instance][server]++;
      int waits = Math.max(0, outstanding[server] - slots) * WORK_MILLIS / slots;
      int work = (int) (WORK_MILLIS * (0.5 + random.nextDouble()));
      ends.add(new int[] {now + waits + work, server, instance, now});
    }

    private void reject(int instance, int server, int now) {
      limits.get(instance).onRejected(id(server), slots, load(instance, server), at(now));
      Deque<Integer> recent = rejections.get(server);
      recent.addLast(now);
      while (recent.peekFirst() <= now - 1000) {
        recent.removeFirst();
      }
      if (recent.size() > maxRejections) {
        falls++;
        recent.clear();
        downUntil[server] = now + DOWN_MILLIS;
        limits.forEach(
            each -> each.onListed(id(server), slots, limits.size(), at(now + DOWN_MILLIS)));
      }
    }

    private static BackendServerId id(int server) {
      return new BackendServerId("s" + server);
    }

    private static Instant at(int millis) {
      return START.plusMillis(millis);
    }
  }
}
