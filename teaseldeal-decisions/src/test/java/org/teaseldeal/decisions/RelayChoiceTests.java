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
  void goesDirectWhileThatWorks() {
    choice.onDirect(true, now);
    assertEquals(Optional.empty(), choice.next(RELAYS, now));
  }

  /**
   * Callers of an instance that the service turns away notice nothing for long. Its next call goes
   * by another instance, most of those after it too, and now and then one goes straight; the first
   * of these that is served ends the detour.
   */
  @Test
  void goesByARelayAndNoticesTheReturnOfTheService() {
    choice.onDirect(false, now);
    assertEquals(Optional.of("a"), choice.next(RELAYS, now));
    int direct = calls(Duration.ofSeconds(5), false, true);
    assertTrue(direct <= 12, "%d of 50 calls went straight, expected a few".formatted(direct));
    calls(Duration.ofSeconds(1), true, true);
    assertEquals(Optional.empty(), choice.next(RELAYS, now));
  }

  /**
   * Callers are served soon after an outage of the service for all. No relay reaches it either, so
   * most calls go straight and find out when it is back.
   */
  @Test
  void goesMostlyDirectWhenRelaysReachNothingEither() {
    choice.onDirect(false, now);
    int direct = calls(Duration.ofSeconds(5), false, false);
    assertTrue(direct >= 35, "%d of 50 calls went straight, expected most".formatted(direct));
  }

  @Test
  void takesTheNextRelayAfterAFailure() {
    choice.onDirect(false, now);
    choice.onRelayed(false, RELAYS.size(), now);
    now = now.plusMillis(900);
    choice.next(RELAYS, now);
    assertEquals(Optional.of("b"), choice.next(RELAYS, now));
  }

  /**
   * Callers of an instance notice little where the service turns most instances away. Only one of
   * eight others reaches it; those that don't say so at once, and the one is found within a round.
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
   * Guards against a storm of calls: while nobody reaches the service, each instance of a large
   * fleet asks all others in turn, and the instances have no time left for their callers.
   */
  @Test
  void asksFewOfManyRelaysInARound() {
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
        relayed <= 16, "%d calls in a second, expected two rounds of eight".formatted(relayed));
  }

  /** Makes a call each {@link #STEP}; returns how many went straight. */
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
