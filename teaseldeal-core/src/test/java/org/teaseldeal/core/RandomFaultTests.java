package org.teaseldeal.core;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.TreeMap;
import org.junit.jupiter.api.Test;

class RandomFaultTests {
  /**
   * Guards against violations of the safety guarantees under several faults at once. Instances are
   * killed, suspended and cut off, the log is down, slow or loses responses, and servers crash, go
   * silent or refuse requests. No caller may get two final answers, a mixed answer, or "not run"
   * for a request that ran. No bid may run twice, and engines may not use more tokens than the
   * budget holds.
   */
  @Test
  void safetyGuaranteesHoldUnderRandomFaults() {
    TreeMap<String, Integer> outcomes = new TreeMap<>();
    for (long seed = 1; seed <= Long.getLong("teaseldeal.seeds", 60); seed++) {
      RandomFaults faultRun = new RandomFaults(seed, policies -> policies);
      faultRun.run();
      faultRun.check();
      faultRun.countOutcomes(outcomes);
    }
    assertTrue(outcomes.getOrDefault("complete", 0) > 1_000, outcomes::toString);
    if (Boolean.getBoolean("teaseldeal.print")) {
      System.out.println(outcomes);
    }
  }
}
