package org.teaseldeal.gateway.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.teaseldeal.gateway.fake.ManualClock;
import org.teaseldeal.gateway.server.CachedPrompts;
import org.teaseldeal.gateway.server.ServerDirectory;

class LoadNewsTests {
  private static final LoadNews NEWS =
      new LoadNews(
          LoadNews.Scope.GROUP,
          "front-7",
          1_700_000_000_000L << 16,
          true,
          List.of(
              new LoadNews.ServerLoad(-5, 0, 0),
              new LoadNews.ServerLoad(Integer.MAX_VALUE, 300, 4_000_000_000L)),
          List.of(new LoadNews.SentPart(-5, Long.MIN_VALUE)));

  private static final int FUZZED = 20_000;

  @Test
  void readsWhatItWrote() {
    assertEquals(NEWS, LoadNews.decode(NEWS.encode()));
  }

  /** Guards against a datagram that was cut, of which the rest would be taken for other numbers. */
  @Test
  void refusesAMessageThatIsTooShortOrTooLong() {
    byte[] whole = NEWS.encode();
    for (int length = 0; length < whole.length; length++) {
      byte[] torn = Arrays.copyOf(whole, length);
      assertThrows(IllegalArgumentException.class, () -> LoadNews.decode(torn));
    }
    byte[] longer = Arrays.copyOf(whole, whole.length + 1);
    assertThrows(IllegalArgumentException.class, () -> LoadNews.decode(longer));
  }

  /** An instance of another version may run beside this one during a rolling restart. */
  @Test
  void refusesAnotherLayoutAndScope() {
    byte[] otherLayout = NEWS.encode();
    otherLayout[0]++;
    assertThrows(IllegalArgumentException.class, () -> LoadNews.decode(otherLayout));
    byte[] otherScope = NEWS.encode();
    otherScope[1] = 9;
    assertThrows(IllegalArgumentException.class, () -> LoadNews.decode(otherScope));
  }

  /** Guards against a forged datagram that ends the instance, or that nobody hears of. */
  @Test
  void dropsAndCountsWhatIsNoMessage() {
    LoadExchange exchange =
        new LoadExchange(
            "a",
            new ServerDirectory(),
            new CachedPrompts(),
            () -> Set.of("a"),
            name -> Optional.empty(),
            (to, message) -> {},
            new ManualClock());
    Random random = new Random(11);
    for (int i = 0; i < FUZZED; i++) {
      byte[] forged = NEWS.encode();
      for (int changes = random.nextInt(1, 5); changes > 0; changes--) {
        forged[random.nextInt(forged.length)] = (byte) random.nextInt();
      }
      exchange.receive(Arrays.copyOf(forged, random.nextInt(forged.length + 1)));
    }
    assertTrue(exchange.messagesDropped() > FUZZED / 2, "dropped " + exchange.messagesDropped());
    assertEquals(FleetLoad.NONE.byServer(), exchange.others().byServer());
  }

  /**
   * Guards against an instance that is heard no more once its clock was set back and it restarted.
   */
  @Test
  void hearsAProcessThatCountsFromBelowItsPredecessor() {
    HeardLoads heard = new HeardLoads(Duration.ofSeconds(1));
    Instant now = Instant.EPOCH;
    LoadNews later = new LoadNews(LoadNews.Scope.GROUP, "b", 9, true, List.of(), List.of());
    LoadNews lower = new LoadNews(LoadNews.Scope.GROUP, "b", 3, true, List.of(), List.of());
    assertTrue(heard.hear(later, now));
    assertFalse(heard.hear(lower, now));
    assertTrue(heard.hear(lower, now.plusSeconds(2)));
  }
}
