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

class LoadMessageTests {
  private static final LoadMessage MESSAGE =
      new LoadMessage(
          LoadMessage.Scope.GROUP,
          "front-7",
          1_700_000_000_000L << 16,
          true,
          List.of(
              new LoadMessage.ServerLoad(-5, 0, 0),
              new LoadMessage.ServerLoad(Integer.MAX_VALUE, 300, 4_000_000_000L)),
          List.of(new LoadMessage.SentPart(-5, Long.MIN_VALUE)));

  private static final int FUZZED_MESSAGES = 20_000;

  @Test
  void decodesWhatWasEncoded() {
    assertEquals(MESSAGE, LoadMessage.decode(MESSAGE.encode()));
  }

  /**
   * A truncated or extended datagram must be rejected, or its rest would be read as wrong numbers.
   */
  @Test
  void rejectsATruncatedOrExtendedMessage() {
    byte[] complete = MESSAGE.encode();
    for (int length = 0; length < complete.length; length++) {
      byte[] truncated = Arrays.copyOf(complete, length);
      assertThrows(IllegalArgumentException.class, () -> LoadMessage.decode(truncated));
    }
    byte[] longer = Arrays.copyOf(complete, complete.length + 1);
    assertThrows(IllegalArgumentException.class, () -> LoadMessage.decode(longer));
  }

  /** An instance of another version may run beside this one during a rolling restart. */
  @Test
  void rejectsAnotherLayoutAndAnUnknownScope() {
    byte[] otherLayout = MESSAGE.encode();
    otherLayout[0]++;
    assertThrows(IllegalArgumentException.class, () -> LoadMessage.decode(otherLayout));
    byte[] otherScope = MESSAGE.encode();
    otherScope[1] = 9;
    assertThrows(IllegalArgumentException.class, () -> LoadMessage.decode(otherScope));
  }

  /** A forged datagram must neither end the instance nor go uncounted. */
  @Test
  void countsAndDropsMessagesThatCannotBeDecoded() {
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
    for (int i = 0; i < FUZZED_MESSAGES; i++) {
      byte[] forged = MESSAGE.encode();
      for (int changes = random.nextInt(1, 5); changes > 0; changes--) {
        forged[random.nextInt(forged.length)] = (byte) random.nextInt();
      }
      exchange.receive(Arrays.copyOf(forged, random.nextInt(forged.length + 1)));
    }
    assertTrue(
        exchange.droppedMessages() > FUZZED_MESSAGES / 2, "dropped " + exchange.droppedMessages());
    assertEquals(PeerLoads.NONE.byServer(), exchange.peerLoads().byServer());
  }

  /**
   * Guards against instances that lose sight of the load of all others because datagrams arrive
   * under thousands of made-up sender names.
   */
  @Test
  void keepsTheLoadsOfKnownSendersWhileUnknownOnesFloodIt() {
    ReceivedLoads loads = new ReceivedLoads(Duration.ofSeconds(1));
    Instant now = Instant.EPOCH;
    List<LoadMessage.ServerLoad> load = List.of(new LoadMessage.ServerLoad(7, 3, 100));
    assertTrue(
        loads.receive(
            new LoadMessage(LoadMessage.Scope.INSTANCE, "b", 1, true, load, List.of()), now));
    for (int i = 0; i < 5_000; i++) {
      loads.receive(
          new LoadMessage(LoadMessage.Scope.INSTANCE, "x" + i, 1, true, load, List.of()), now);
    }
    assertEquals(1, loads.loadsOf("b", now).size());
    assertTrue(loads.sendersSince(now).size() <= 2_048);
  }

  /**
   * The messages of an instance must be accepted after it restarted with its clock set back,
   * although its sequence numbers are lower.
   */
  @Test
  void acceptsLowerSequenceNumbersFromASilentSender() {
    ReceivedLoads loads = new ReceivedLoads(Duration.ofSeconds(1));
    Instant now = Instant.EPOCH;
    LoadMessage later =
        new LoadMessage(LoadMessage.Scope.GROUP, "b", 9, true, List.of(), List.of());
    LoadMessage lower =
        new LoadMessage(LoadMessage.Scope.GROUP, "b", 3, true, List.of(), List.of());
    assertTrue(loads.receive(later, now));
    assertFalse(loads.receive(lower, now));
    assertTrue(loads.receive(lower, now.plusSeconds(2)));
  }
}
