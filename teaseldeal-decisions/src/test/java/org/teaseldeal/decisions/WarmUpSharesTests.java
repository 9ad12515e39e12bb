package org.teaseldeal.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.teaseldeal.api.BackendServerId;

class WarmUpSharesTests {
  private static final int LIMIT = 21;
  private static final double LEAST_USED_FRACTION = 0.8;
  private static final int SERVERS = 200;

  /**
   * A server that warms up has no load and is everybody's first choice; if the shares exceeded its
   * limit together, the fleet would crash it as often as it starts.
   */
  @ParameterizedTest
  @ValueSource(ints = {7, 9, 17, 18, 21, 22, 61, 95, 300})
  void staysWithinLimitAndUsesMostOfIt(int count) {
    Set<String> instances = instances(count);
    for (BackendServerId server : servers()) {
      int sum = sum(server, instances, instances);
      assertTrue(sum <= LIMIT, () -> sum + " at " + server);
      assertTrue(sum >= LIMIT * LEAST_USED_FRACTION, () -> sum + " at " + server);
    }
  }

  /** An instance that joins takes its share before the other instances have heard of it. */
  @ParameterizedTest
  @ValueSource(ints = {1, 2, 5, 7, 9, 61, 95, 300})
  void staysWithinLimitWhileNobodyKnowsAnInstanceThatJoins(int count) {
    Set<String> before = instances(count);
    Set<String> after = new TreeSet<>(before);
    after.add("joiner");
    for (BackendServerId server : servers()) {
      int sum = sum(server, before, before) + WarmUpShares.share(server, "joiner", after, LIMIT);
      assertTrue(sum <= LIMIT, () -> sum + " at " + server);
    }
  }

  /** While all instances of a fleet are cut off from each other, each uses its share blindly. */
  @Test
  void givesNoShareBeyondTheFirstInstances() {
    Set<String> instances = instances(300);
    BackendServerId server = servers().getFirst();
    List<String> holders = WarmUpShares.holders(server, instances, LIMIT);
    assertEquals(
        Set.copyOf(holders),
        instances.stream()
            .filter(each -> WarmUpShares.share(server, each, instances, LIMIT) > 0)
            .collect(Collectors.toSet()));
  }

  @Test
  void leavesOneRequestOfTheSmallestLimit() {
    BackendServerId server = servers().getFirst();
    assertEquals(
        1,
        instances(9).stream()
            .mapToInt(each -> WarmUpShares.share(server, each, instances(9), 1))
            .sum());
    assertEquals(0, WarmUpShares.share(server, "instance-0", instances(9), 0));
  }

  private static int sum(BackendServerId server, Set<String> sharing, Set<String> known) {
    return sharing.stream().mapToInt(each -> WarmUpShares.share(server, each, known, LIMIT)).sum();
  }

  private static Set<String> instances(int count) {
    return IntStream.range(0, count)
        .mapToObj(i -> "instance-" + i)
        .collect(Collectors.toCollection(TreeSet::new));
  }

  private static List<BackendServerId> servers() {
    return IntStream.range(0, SERVERS).mapToObj(i -> new BackendServerId("server-" + i)).toList();
  }
}
