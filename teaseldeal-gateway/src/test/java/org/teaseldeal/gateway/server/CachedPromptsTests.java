package org.teaseldeal.gateway.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.teaseldeal.api.BackendServerId;

class CachedPromptsTests {
  private static final Instant NOW = Instant.ofEpochMilli(1_700_000_000_000L);
  private static final ServerIncarnation FIRST_INCARNATION = incarnation(NOW);

  private final CachedPrompts cached = new CachedPrompts();

  @Test
  void containsThePartsThatWereSent() {
    cached.onSent(FIRST_INCARNATION, List.of("a", "b"), NOW);
    assertTrue(cached.contains(FIRST_INCARNATION, "a"));
    assertFalse(cached.contains(FIRST_INCARNATION, "c"));
  }

  /** A restarted server has an empty cache. */
  @Test
  void containsNoPartsOfALaterIncarnation() {
    cached.onSent(FIRST_INCARNATION, List.of("a"), NOW);
    assertFalse(cached.contains(incarnation(NOW.plusMillis(1)), "a"));
  }

  @Test
  void removesThePartsOfAPromptThatWasNotRun() {
    cached.onSent(FIRST_INCARNATION, List.of("a"), NOW);
    cached.onNotRun(FIRST_INCARNATION, List.of("a"));
    assertFalse(cached.contains(FIRST_INCARNATION, "a"));
  }

  @Test
  void reportsAPartAsSentOnlyTheFirstTime() {
    cached.onSent(FIRST_INCARNATION, List.of("a"), NOW);
    cached.onSent(FIRST_INCARNATION, List.of("a"), NOW.plusMillis(200));
    assertEquals(1, cached.sentSince(NOW).size());
    assertEquals(List.of(), cached.sentSince(NOW.plusMillis(100)));
  }

  /** Memory use stays bounded if new prompt parts keep coming; the most recent ones are kept. */
  @Test
  void evictsTheLeastRecentlyUsedParts() {
    for (int i = 0; i < 50_000; i++) {
      cached.onSent(FIRST_INCARNATION, List.of("subject-" + i), NOW);
    }
    assertFalse(cached.contains(FIRST_INCARNATION, "subject-0"));
    assertTrue(cached.contains(FIRST_INCARNATION, "subject-49999"));
  }

  private static ServerIncarnation incarnation(Instant start) {
    return new ServerIncarnation(new BackendServerId("i-1"), Optional.of(start));
  }
}
