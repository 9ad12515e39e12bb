package org.teaseldeal.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.teaseldeal.api.BackendServerId;

/** The load: engines with 64 places and memory for 349,690 tokens, and prompts of 12,000 tokens. */
class EngineMemoryTests {
  private static final long CAPACITY = 349_690;
  private static final long PROMPT = 12_500;

  private final EngineMemory memory = new EngineMemory(0.9);

  /** Guards against engines that crash because they hold more than their memory. */
  @Test
  void fillsAnEngineUpToItsUsableShareOnly() {
    long held = 0;
    int requests = 0;
    memory.onSent(PROMPT, CAPACITY);
    while (memory.left(CAPACITY, held, 0, 0) >= PROMPT) {
      held += PROMPT;
      requests++;
    }
    assertTrue(held <= CAPACITY * 0.9, "held " + held);
    assertEquals(25, requests);
  }

  @Test
  void countsRequestsOfOtherInstancesAsLargeAsTheOwnOnes() {
    memory.onSent(10_000, CAPACITY);
    assertEquals((long) (CAPACITY * 0.9) - 12_000 - 50_000, memory.left(CAPACITY, 12_000, 5, 0));
  }

  /** Guards against engines that count as full after a request that every engine refuses. */
  @Test
  void leavesOutRequestsThatAreLargerThanTheMemory() {
    memory.onSent(10_000, CAPACITY);
    memory.onSent(Long.MAX_VALUE, CAPACITY);
    assertEquals((long) (CAPACITY * 0.9) - 50_000, memory.left(CAPACITY, 0, 5, 0));
  }

  /** Guards against prompts of other instances that are far larger than the own ones. */
  @Test
  void countsAtLeastThePromptTokensThatOthersHaveAhead() {
    memory.onSent(1_000, CAPACITY);
    assertEquals((long) (CAPACITY * 0.9) - 54_600, memory.left(CAPACITY, 0, 1, 54_600));
  }

  /** Guards against a prompt that no engine ever gets, though an idle one might take it. */
  @Test
  void leavesItToAnIdleEngineToRefuse() {
    assertEquals(Long.MAX_VALUE, memory.left(CAPACITY, 0, 0, 0));
  }

  @Test
  void limitsNothingWithoutAKnownCapacity() {
    assertEquals(Long.MAX_VALUE, memory.left(0, 1_000_000, 60, 0));
  }

  @Test
  void rejectsASharePastTheWholeMemory() {
    assertThrows(IllegalArgumentException.class, () -> new EngineMemory(1.1));
    assertThrows(IllegalArgumentException.class, () -> new EngineMemory(0));
  }

  /** Guards against a hot prefix whose prompts all go to the engine that has it cached. */
  @Test
  void placesAPromptAtAnEngineWithRoomThoughAnotherHoldsItsPrefix() {
    BackendServerId full = new BackendServerId("full");
    BackendServerId roomy = new BackendServerId("roomy");
    List<PromptPlacement.Candidate> engines =
        List.of(candidate(full, 5, true, PROMPT - 1), candidate(roomy, 300, false, PROMPT));
    assertEquals(Optional.of(roomy), choose(engines));
    assertEquals(Optional.empty(), choose(engines.subList(0, 1)));
  }

  private static Optional<BackendServerId> choose(List<PromptPlacement.Candidate> engines) {
    PromptPlacement.Prompt prompt =
        new PromptPlacement.Prompt("prefix", Duration.ofMillis(600), PROMPT);
    return PromptPlacement.choose(engines, prompt, new Random(1));
  }

  private static PromptPlacement.Candidate candidate(
      BackendServerId id, double millis, boolean holdsPrefix, long memoryLeft) {
    return new PromptPlacement.Candidate(
        id, millis, millis, holdsPrefix, memoryLeft, true, PromptPlacement.hash(id.name()));
  }
}
