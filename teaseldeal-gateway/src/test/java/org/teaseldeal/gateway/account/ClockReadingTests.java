package org.teaseldeal.gateway.account;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class ClockReadingTests {
  private final ClockReading atNote = new ClockReading(5_000_000_000L, 1_000_000);

  @Test
  void measuresTheTimeWithinOneRunOfTheMachine() {
    ClockReading atStart = new ClockReading(6_300_000_000L, 1_001_290);
    assertEquals(Optional.of(Duration.ofMillis(1_300)), atStart.since(atNote));
  }

  /**
   * A successor reclaims its predecessor's unused tokens only if it knows how long ago the last
   * note was written. After a loss of power the monotonic clock starts anew at an arbitrary value,
   * so the elapsed time must count as unknown.
   */
  @Test
  void returnsEmptyAfterALossOfPower() {
    assertEquals(Optional.empty(), new ClockReading(9_000_000_000L, 1_002_600).since(atNote));
    assertEquals(Optional.empty(), new ClockReading(1_000_000_000L, 1_002_600).since(atNote));
  }

  @Test
  void returnsEmptyAfterAStepOfTheWallClock() {
    assertEquals(Optional.empty(), new ClockReading(6_300_000_000L, 999_300).since(atNote));
  }
}
