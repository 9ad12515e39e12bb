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
    choice.onDirect(true, now);
    assertEquals(Optional.empty(), choice.next(RELAYS, now));
  }

  /**
   * Guards against long disturbances at an instance that the service rejects. The first calls after
   * the rejection go through a relay, with a direct call at intervals; the first successful direct
   * call ends the relaying.
   */
  @Test
  void relaysCallsUntilTheServiceReturns() {
    choice.onDirect(false, now);
    assertEquals(Optional.of("a"), choice.next(RELAYS, now));
    int direct = calls(Duration.ofSeconds(5), false, true);
    assertTrue(direct <= 12, "%d of 50 calls were direct, expected at most 12".formatted(direct));
    calls(Duration.ofSeconds(1), true, true);
    assertEquals(Optional.empty(), choice.next(RELAYS, now));
  }

  /**
   * Guards against a late recovery after an outage for all instances. No relay reaches the service
   * either, so most calls have to go directly and discover its return.
   */
  @Test
  void callsMostlyDirectlyIfNoRelayReachesTheService() {
    choice.onDirect(false, now);
    int direct = calls(Duration.ofSeconds(5), false, false);
    assertTrue(direct >= 35, "%d of 50 calls were direct, expected at least 35".formatted(direct));
  }

  @Test
  void usesTheNextRelayAfterAFailure() {
    choice.onDirect(false, now);
    choice.onRelayed(false, RELAYS.size(), now);
    now = now.plusMillis(900);
    choice.next(RELAYS, now);
    assertEquals(Optional.of("b"), choice.next(RELAYS, now));
  }

  /**
   * Guards against long disturbances if the service rejects most instances. Only one of eight
   * relays reaches it; the others report the failure immediately, and the working one has to be
   * found within one round.
   */
  @Test
  void findsTheOneRelayThatReachesTheService() {
    List<String> relays = List.of("a", "b", "c", "d", "e", "f", "g", "h");
    choice.onDirect(false, now);
    for (int call = 0; call < relays.size() - 1; call++) {
      now = now.plusMillis(5);
      String relay = choice.next(relays, now).orElseThrow();
      choice.onRelayed(relay.equals("h"), relays.size(), now);
    }
    assertEquals(Optional.of("h"), choice.next(relays, now));
  }

  /**
   * Guards against a storm of calls: if no instance reaches the service and each instance of a
   * large fleet tries all relays in turn, the instances have no time left for their callers.
   */
  @Test
  void limitsTheRelaysTriedInARound() {
    List<String> relays = IntStream.range(0, 67).mapToObj(i -> "instance-" + i).toList();
    choice.onDirect(false, now);
    int relayed = 0;
    for (Instant end = now.plusSeconds(1); now.isBefore(end); now = now.plusMillis(2)) {
      if (choice.next(relays, now).isPresent()) {
        relayed++;
        choice.onRelayed(false, relays.size(), now);
      }
    }
    assertTrue(
        relayed <= 16,
        "%d relayed calls in a second, expected two rounds of eight".formatted(relayed));
  }

  /** Makes a call every {@link #STEP}; returns the number of direct calls. */
  private int calls(Duration time, boolean directReached, boolean relayReached) {
    int direct = 0;
    for (Instant end = now.plus(time); now.isBefore(end); now = now.plus(STEP)) {
      if (choice.next(RELAYS, now).isEmpty()) {
        direct++;
        choice.onDirect(directReached, now);
      } else {
        choice.onRelayed(relayReached, RELAYS.size(), now);
      }
    }
    return direct;
  }
}
