package org.teaseldeal.gateway.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the load exchange with many instances and many servers, and few prompts per instance. */
class LargeLoadExchangeTests {
  private static final int SERVERS = 61;
  private static final double PROMPTS_PER_INSTANCE = 3.6;

  /** The traffic of control messages allowed per instance at the largest planned fleet size. */
  private static final long MAX_BYTES_PER_SECOND = 26_000;

  /** The time in which a server reads a large prompt: 12,000 tokens at 66 tokens a millisecond. */
  private static final Duration LARGE_PROMPT_READ_TIME = Duration.ofMillis(180);

  /** The hops that a load passes from one instance to another; each takes a whole step here. */
  private static final int HOPS = 3;

  private static final String PART = "subject";
  private static final Duration WARM_UP = Duration.ofSeconds(10);
  private static final Duration MEASURED_TIME = Duration.ofSeconds(3);

  /**
   * If each instance sent its loads to every other one, the traffic would grow with the square of
   * the fleet's size and use up the instances' processors and links.
   */
  @ParameterizedTest
  @ValueSource(ints = {9, 30, 95})
  void staysWithinTheControlTrafficLimitOfAnInstance(int size) {
    LoadFleet fleet = new LoadFleet(size, SERVERS);
    fleet.run(WARM_UP, size * PROMPTS_PER_INSTANCE);
    fleet.resetCounts();
    fleet.run(MEASURED_TIME, size * PROMPTS_PER_INSTANCE);
    long bytes = fleet.instances.stream().mapToLong(each -> each.byteCount).sum();
    long each = bytes / size / MEASURED_TIME.toSeconds();
    assertTrue(
        each <= MAX_BYTES_PER_SECOND,
        "%d bytes a second at each of %d instances".formatted(each, size));
  }

  /**
   * The number of messages that an instance sends and receives must not grow by more than a tenth
   * when the fleet grows to three times its size.
   */
  @Test
  void exchangesNoMoreMessagesPerInstanceInALargerFleet() {
    long at95 = medianMessagesOfAMember(95);
    long at300 = medianMessagesOfAMember(300);
    assertTrue(
        10 * at300 <= 11 * at95, "%d messages at 95 instances, %d at 300".formatted(at95, at300));
  }

  /** The median number of messages of the instances that aren't collectors. */
  private static long medianMessagesOfAMember(int size) {
    LoadFleet fleet = new LoadFleet(size, SERVERS);
    fleet.resetCounts();
    fleet.run(MEASURED_TIME, size * PROMPTS_PER_INSTANCE);
    Set<String> collectors = fleet.collectors();
    List<Long> counts =
        fleet.instances.stream()
            .filter(each -> !collectors.contains(each.name))
            .map(each -> each.messageCount)
            .sorted()
            .toList();
    return counts.get(counts.size() / 2);
  }

  /**
   * A load must reach all instances before a server has read a large prompt, or servers are chosen
   * by outdated loads.
   */
  @Test
  void reachesAllInstancesWithinTheTimeOfALargePrompt() {
    LoadFleet fleet = new LoadFleet(95, SERVERS);
    fleet.instances.getFirst().start(7, PART);
    fleet.run(LARGE_PROMPT_READ_TIME.plus(LoadFleet.STEP.multipliedBy(HOPS)));
    for (LoadFleet.Instance each : fleet.instances.subList(1, 95)) {
      assertEquals(1, each.peerRequestsAt(7), each.name);
    }
    assertEquals(0, fleet.instances.getFirst().peerRequestsAt(7));
  }

  /** A load must disappear at the other instances after its request has ended. */
  @Test
  void removesTheLoadOfEndedRequests() {
    LoadFleet fleet = new LoadFleet(95, SERVERS);
    fleet.run(Duration.ofSeconds(1));
    LoadFleet.Instance first = fleet.instances.getFirst();
    first.start(7, PART);
    fleet.run(Duration.ofMillis(100));
    first.endOldest();
    fleet.run(Duration.ofMillis(400));
    assertEquals(0, fleet.instances.get(50).peerRequestsAt(7));
  }

  /**
   * Instances whose collector is gone must switch to another one, or they would choose servers
   * without knowing the other instances' loads.
   */
  @Test
  void switchesToAnotherCollectorWhenOneIsGone() {
    LoadFleet fleet = new LoadFleet(95, SERVERS);
    Set<String> collectors = fleet.collectors();
    fleet.instances.stream()
        .filter(each -> collectors.contains(each.name))
        .limit(5)
        .forEach(each -> each.down = true);
    fleet.run(Duration.ofSeconds(3));
    LoadFleet.Instance reporter =
        fleet.instances.stream()
            .filter(each -> !collectors.contains(each.name))
            .findFirst()
            .orElseThrow();
    reporter.start(7, PART);
    fleet.run(Duration.ofMillis(300));
    for (LoadFleet.Instance each : fleet.instances) {
      if (!each.down && each != reporter) {
        assertEquals(1, each.peerRequestsAt(7), each.name);
      }
    }
  }

  /** All instances must learn which server a prompt's shared part was sent to. */
  @Test
  void sharesWhichServerAPromptPartWasSentTo() {
    LoadFleet fleet = new LoadFleet(95, SERVERS);
    LoadFleet.Instance first = fleet.instances.getFirst();
    first.start(7, PART);
    fleet.run(Duration.ofMillis(300));
    for (LoadFleet.Instance each : fleet.instances) {
      assertTrue(each.cached.contains(first.server(7).incarnation(), PART), each.name);
    }
  }
}
