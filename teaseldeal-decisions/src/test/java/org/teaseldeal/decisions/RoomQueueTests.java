package org.teaseldeal.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** A burst in which one customer sends most of the requests, of several ranks, for few slots. */
class RoomQueueTests {
  private static final Instant NOW = Instant.EPOCH.plusSeconds(1000);
  private static final double FAST = 1000;

  private final RoomQueue<String> queue = new RoomQueue<>();

  private Optional<Duration> offer(String item, String customer, int rank, int millisLeft) {
    return offer(item, customer, rank, millisLeft, FAST);
  }

  private Optional<Duration> offer(
      String item, String customer, int rank, int millisLeft, double startsPerSecond) {
    return queue.offer(
        new RoomQueue.Entry<>(item, customer, rank, NOW.plusMillis(millisLeft)),
        startsPerSecond,
        NOW);
  }

  private List<String> sendAll() {
    List<String> sent = new ArrayList<>();
    while (queue.size() > 0) {
      String next = queue.peek().orElseThrow();
      queue.onSent(next);
      sent.add(next);
    }
    return sent;
  }

  @Test
  void sendsTheMostUrgentRankFirstThenTheLeastTimeLeft() {
    offer("later", "c", 1, 900);
    offer("sooner", "c", 1, 800);
    offer("urgent", "c", 0, 1000);
    assertEquals(List.of("urgent", "sooner", "later"), sendAll());
  }

  /** A customer that sends ten times as much must not take the turns of the others. */
  @Test
  void customersOfOneRankTakeTurns() {
    for (int i = 0; i < 10; i++) {
      offer("hot-" + i, "hot", 1, 500 + i);
    }
    offer("other-1", "other", 1, 900);
    offer("other-2", "other", 1, 901);
    List<String> sent = sendAll();
    assertTrue(sent.indexOf("other-2") <= 3, () -> sent.toString());
  }

  /** A customer that has just had its turns must not have them again by sending anew. */
  @Test
  void remembersTheTurnsOfACustomerWhoseRequestsAreAllSent() {
    offer("first", "hot", 1, 500);
    offer("other", "other", 1, 600);
    queue.onSent("first");
    offer("second", "hot", 1, 100);
    assertEquals(List.of("other", "second"), sendAll());
  }

  /** A caller whose request can't be served in time learns it at once. */
  @Test
  void refusesWhatCannotBeServedInTimeAndSaysWhenItCan() {
    for (int i = 0; i < 9; i++) {
      assertEquals(Optional.empty(), offer("queued-" + i, "c", 1, 900, 10));
    }
    assertEquals(Optional.of(Duration.ofMillis(1000)), offer("late", "c", 1, 900, 10));
    assertEquals(Optional.empty(), offer("urgent", "c", 0, 900, 10));
    assertEquals(Optional.empty(), offer("of another customer", "d", 1, 900, 10));
  }

  @Test
  void namesTheRequestsThatCannotBeServedInTimeAnyMore() {
    offer("short", "c", 1, 100);
    offer("long", "c", 1, 1000);
    assertEquals(List.of("short"), queue.overdue(NOW.plusMillis(101)));
    assertTrue(queue.remove("short"));
    assertEquals(List.of("long"), sendAll());
  }
}
