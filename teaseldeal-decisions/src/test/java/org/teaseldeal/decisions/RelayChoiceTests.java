package org.teaseldeal.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class RelayChoiceTests {
  private static final List<String> RELAYS = List.of("a", "b", "c");
  private static final Duration STEP = Duration.ofMillis(100);

  private final RelayChoice choice = new RelayChoice(0);
  private Instant now = Instant.EPOCH;

  @Test
  void callsDirectlyWhileThatWorks() {
    choice.onDirectCall(true, now);
    assertEquals(Optional.empty(), choice.nextRelay(RELAYS, now));
  }

  /**
   * Guards against long disturbances at an instance that the service rejects. The first calls after
   * the rejection go through a relay, with a direct call at intervals; the first successful direct
   * call ends the relaying.
   */
  @Test
  void relaysCallsUntilTheServiceReturns() {
    choice.onDirectCall(false, now);
    assertEquals(Optional.of("a"), choice.nextRelay(RELAYS, now));
    int direct = makeCalls(Duration.ofSeconds(5), false, true);
    assertTrue(direct <= 12, "%d of 50 calls were direct, expected at most 12".formatted(direct));
    makeCalls(Duration.ofSeconds(1), true, true);
    assertEquals(Optional.empty(), choice.nextRelay(RELAYS, now));
  }

  /**
   * Guards against a late recovery after an outage for all instances. No relay reaches the service
   * either, so most calls have to go directly and discover its return.
   */
  @Test
  void callsMostlyDirectlyIfNoRelayReachesTheService() {
    choice.onDirectCall(false, now);
    int direct = makeCalls(Duration.ofSeconds(5), false, false);
    assertTrue(direct >= 35, "%d of 50 calls were direct, expected at least 35".formatted(direct));
  }

  @Test
  void usesTheNextRelayAfterAFailure() {
    choice.onDirectCall(false, now);
    choice.onRelayedCall(false, RELAYS.size(), now);
    now = now.plusMillis(900);
    choice.nextRelay(RELAYS, now);
    assertEquals(Optional.of("b"), choice.nextRelay(RELAYS, now));
  }

  /**
   * Guards against long disturbances if the service rejects most instances. Only one of eight
   * relays reaches it; the others report the failure immediately, and the working one has to be
   * found within one round.
   */
  @Test
  void findsTheOneRelayThatReachesTheService() {
    List<String> relays = List.of("a", "b", "c", "d", "e", "f", "g", "h");
    choice.onDirectCall(false, now);
    for (int call = 0; call < relays.size() - 1; call++) {
      now = now.plusMillis(5);
      String relay = choice.nextRelay(relays, now).orElseThrow();
      choice.onRelayedCall(relay.equals("h"), relays.size(), now);
    }
    assertEquals(Optional.of("h"), choice.nextRelay(relays, now));
  }

  /**
   * Guards against a storm of calls: if no instance reaches the service and each instance of a
   * large fleet tries all relays in turn, the instances have no time left for their callers.
   */
  @Test
  void limitsTheRelaysTriedInARound() {
    List<String> relays = IntStream.range(0, 67).mapToObj(i -> "instance-" + i).toList();
    choice.onDirectCall(false, now);
    int relayed = 0;
    for (Instant end = now.plusSeconds(1); now.isBefore(end); now = now.plusMillis(2)) {
      if (choice.nextRelay(relays, now).isPresent()) {
        relayed++;
        choice.onRelayedCall(false, relays.size(), now);
      }
    }
    assertTrue(
        relayed <= 16,
        "%d relayed calls in a second, expected two rounds of eight".formatted(relayed));
  }

  /** Makes a call every {@link #STEP}; returns the number of direct calls. */
  private int makeCalls(Duration time, boolean directReached, boolean relayReached) {
    int direct = 0;
    for (Instant end = now.plus(time); now.isBefore(end); now = now.plus(STEP)) {
      if (choice.nextRelay(RELAYS, now).isEmpty()) {
        direct++;
        choice.onDirectCall(directReached, now);
      } else {
        choice.onRelayedCall(relayReached, RELAYS.size(), now);
      }
    }
    return direct;
  }
}
