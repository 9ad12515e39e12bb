package org.teaseldeal.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;

/** The load: prompts read in 120 ms with a target time of 0.6 s beside ones of 8 ms and 0.3 s. */
class PromptMixTests {
  private static final Instant START = Instant.ofEpochSecond(1_700_000_000);
  private static final Duration SHORT_TARGET = Duration.ofMillis(300);
  private static final Duration LONG_TARGET = Duration.ofMillis(600);
  private static final double SHORT_MILLIS = 8;
  private static final double LONG_MILLIS = 120;
  private static final int ENGINES = 16;

  private final PromptMix mix = new PromptMix();
  private Instant now = START;

  @Test
  void tellsLongPromptsByTheShortestTarget() {
    assertFalse(mix.isLong(LONG_MILLIS));
    play(1, 1, 50);
    assertTrue(mix.isLong(LONG_MILLIS));
    assertFalse(mix.isLong(SHORT_MILLIS));
  }

  @Test
  void usesAllEnginesAlikeBeforeTheMixIsKnown() {
    assertEquals(0, mix.enginesForLong(ENGINES));
    play(1, 1, 10);
    assertEquals(0, mix.enginesForLong(ENGINES));
  }

  /** Guards against engines that stand by for a kind of prompt that nobody sends. */
  @Test
  void usesAllEnginesAlikeForOneKind() {
    play(0, 1, 300);
    assertEquals(0, mix.enginesForLong(ENGINES));
    PromptMix onlyLong = new PromptMix();
    for (int i = 0; i < 300; i++) {
      onlyLong.onPrompt(LONG_MILLIS, LONG_MILLIS, LONG_TARGET, START.plusMillis(i * 10L));
    }
    assertEquals(0, onlyLong.enginesForLong(ENGINES));
  }

  @Test
  void givesEachKindAPartOfTheEnginesAsLargeAsItsReading() {
    // 120 ms of long beside 15 x 8 ms of short: half of the reading.
    play(1, 15, 600);
    assertEquals(ENGINES / 2, mix.enginesForLong(ENGINES), 2);
  }

  /** Guards against a division that stays while the mix shifts. */
  @Test
  void movesWhenTheLongShareDoublesAndBack() {
    play(1, 30, 1_000);
    int before = mix.enginesForLong(ENGINES);
    play(2, 30, 3_000);
    int doubled = mix.enginesForLong(ENGINES);
    play(1, 30, 3_000);
    assertTrue(doubled > before, "%d engines, then %d".formatted(before, doubled));
    assertEquals(before, mix.enginesForLong(ENGINES), 2);
  }

  @Test
  void forgetsTheMixOfLongAgo() {
    play(1, 15, 600);
    now = now.plus(Duration.ofHours(1));
    play(0, 1, 300);
    assertEquals(0, mix.enginesForLong(ENGINES));
  }

  private void play(int longPrompts, int shortPrompts, int prompts) {
    int round = longPrompts + shortPrompts;
    for (int i = 0; i < prompts; i++) {
      now = now.plusMillis(10);
      if (i % round < longPrompts) {
        mix.onPrompt(LONG_MILLIS, LONG_MILLIS, LONG_TARGET, now);
      } else {
        mix.onPrompt(SHORT_MILLIS, SHORT_MILLIS, SHORT_TARGET, now);
      }
    }
  }
}
