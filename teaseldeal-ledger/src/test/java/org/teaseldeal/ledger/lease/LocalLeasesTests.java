package org.teaseldeal.ledger.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.teaseldeal.ledger.LedgerFixtures.A;
import static org.teaseldeal.ledger.LedgerFixtures.B;
import static org.teaseldeal.ledger.LedgerFixtures.BIDS;
import static org.teaseldeal.ledger.LedgerFixtures.DRAFTS;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.teaseldeal.ledger.Draw;

/**
 * Guards against tokens that an instance loses, or spends twice, between reserving and settling.
 */
class LocalLeasesTests {
  private final LocalLeases leases = new LocalLeases();

  @Test
  void settlingDrawsUsedTokensAndFreesTheRest() {
    leases.credit(DRAFTS, List.of(new Draw(A, 30), new Draw(B, 30)));
    Reservation reservation = leases.reserve(DRAFTS, 50).orElseThrow();
    assertEquals(10, leases.free(DRAFTS));
    assertEquals(50, leases.reserved(DRAFTS));

    assertEquals(List.of(new Draw(A, 30), new Draw(B, 5)), leases.settle(reservation, 35));
    assertEquals(25, leases.free(DRAFTS));
    assertEquals(25, leases.held(DRAFTS));
  }

  @Test
  void tokensThatAreNotFreeAreNotReserved() {
    leases.credit(DRAFTS, List.of(new Draw(A, 30)));
    leases.reserve(DRAFTS, 20);

    assertEquals(Optional.empty(), leases.reserve(DRAFTS, 11));
    assertEquals(Optional.empty(), leases.reserve(BIDS, 1));
    assertEquals(List.of(new Draw(A, 10)), leases.take(DRAFTS, 100));
    assertEquals(List.of(), leases.services());
  }

  @Test
  void releasingFreesAllTokens() {
    leases.credit(DRAFTS, List.of(new Draw(A, 30)));
    leases.release(leases.reserve(DRAFTS, 20).orElseThrow());

    assertEquals(List.of(new Draw(A, 30)), leases.freeDraws(DRAFTS));
  }

  /**
   * The end of an attempt is reported twice, by its answer and by its cancellation. Settling the
   * reservation a second time would free tokens that were spent.
   */
  @Test
  void aReservationCanBeSettledOnlyOnce() {
    leases.credit(DRAFTS, List.of(new Draw(A, 30)));
    Reservation reservation = leases.reserve(DRAFTS, 20).orElseThrow();
    leases.settle(reservation, 20);

    assertThrows(IllegalStateException.class, () -> leases.release(reservation));
    assertEquals(10, leases.held(DRAFTS));
  }

  /**
   * An engine reports more tokens than were reserved. Free tokens pay for the excess as far as they
   * suffice; the draws must never exceed the credited tokens.
   */
  @Test
  void usageBeyondTheReservationIsPaidFromFreeTokens() {
    leases.credit(DRAFTS, List.of(new Draw(A, 30)));
    Reservation reservation = leases.reserve(DRAFTS, 20).orElseThrow();

    assertEquals(List.of(new Draw(A, 30)), leases.settle(reservation, 45));
    assertEquals(0, leases.held(DRAFTS));
  }

  @Test
  void randomCallsNeverLoseOrCreateTokens() {
    SplittableRandom random = new SplittableRandom(5);
    List<Reservation> open = new ArrayList<>();
    long expectedHeld = 0;
    for (int i = 0; i < 20_000; i++) {
      long tokens = 1 + random.nextInt(50);
      switch (random.nextInt(4)) {
        case 0 -> {
          leases.credit(DRAFTS, List.of(new Draw(random.nextBoolean() ? A : B, tokens)));
          expectedHeld += tokens;
        }
        case 1 -> leases.reserve(DRAFTS, tokens).ifPresent(open::add);
        case 2 -> expectedHeld -= sum(leases.take(DRAFTS, tokens / 4));
        default -> {
          if (!open.isEmpty()) {
            expectedHeld -= sum(leases.settle(open.remove(random.nextInt(open.size())), tokens));
          }
        }
      }
      assertEquals(expectedHeld, leases.held(DRAFTS));
      assertTrue(leases.free(DRAFTS) >= 0);
      assertEquals(sum(leases.freeDraws(DRAFTS)), leases.free(DRAFTS));
    }
  }

  private static long sum(List<Draw> draws) {
    return draws.stream().mapToLong(Draw::tokens).sum();
  }
}
