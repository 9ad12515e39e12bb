package org.teaseldeal.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.teaseldeal.api.CustomerId;
import org.teaseldeal.decisions.AdmissionQueue.Entry;
import org.teaseldeal.decisions.AdmissionQueue.Verdict;

class AdmissionQueueTests {
  private static final Instant NOW = Instant.EPOCH;
  private static final double DRAIN = 10;

  private final AdmissionQueue<String> queue = new AdmissionQueue<>();

  private Verdict offer(
      String item, String customer, int weight, int rank, double cost, int timeoutSeconds) {
    Entry<String> entry =
        new Entry<>(
            item,
            CustomerId.parse("team/" + customer),
            weight,
            rank,
            cost,
            NOW.plusSeconds(timeoutSeconds),
            NOW);
    return queue.offer(entry, DRAIN, NOW);
  }

  private List<String> pollAll() {
    List<String> items = new ArrayList<>();
    for (Optional<Entry<String>> polled = queue.poll(); polled.isPresent(); polled = queue.poll()) {
      items.add(polled.get().item());
    }
    return items;
  }

  @Nested
  class Unbounded {
    private final AdmissionQueue<String> unbounded = new AdmissionQueue<>(QueueRule.UNBOUNDED);

    private void offer(String item, String customer, int rank) {
      Entry<String> entry =
          new Entry<>(item, CustomerId.parse("team/" + customer), 1, rank, NOW.plusMillis(1), NOW);
      assertInstanceOf(Verdict.Queued.class, unbounded.offer(entry, 0.1, NOW));
    }

    @Test
    void queuesEverythingInOrderOfArrival() {
      offer("hot-1", "hot", 2);
      offer("hot-2", "hot", 2);
      offer("light", "light", 0);
      assertEquals("hot-1", unbounded.poll().orElseThrow().item());
      assertEquals("hot-2", unbounded.poll().orElseThrow().item());
      assertEquals("light", unbounded.poll().orElseThrow().item());
    }
  }

  @Nested
  class Order {
    @Test
    void alternatesBetweenCustomersRegardlessOfBacklogs() {
      for (int i = 0; i < 4; i++) {
        offer("a" + i, "a", 1, 0, 1, 10);
      }
      offer("b0", "b", 1, 0, 1, 10);
      offer("b1", "b", 1, 0, 1, 10);
      assertEquals(List.of("a0", "b0", "a1", "b1", "a2", "a3"), pollAll());
    }

    @Test
    void givesCustomersTurnsByWeight() {
      for (int i = 0; i < 4; i++) {
        offer("a" + i, "a", 2, 0, 1, 10);
        offer("b" + i, "b", 1, 0, 1, 10);
      }
      assertEquals(List.of("a0", "b0", "a1", "a2", "b1"), pollAll().subList(0, 5));
    }

    @Test
    void countsTurnsByWork() {
      offer("long0", "a", 1, 0, 3, 10);
      offer("long1", "a", 1, 0, 3, 10);
      for (int i = 0; i < 4; i++) {
        offer("short" + i, "b", 1, 0, 1, 10);
      }
      assertEquals(List.of("long0", "short0", "short1", "short2", "long1", "short3"), pollAll());
    }

    @Test
    void givesLowerClassesOneStartInTwenty() {
      for (int i = 0; i < 60; i++) {
        offer("urgent" + i, "a", 1, 0, 1, 60);
      }
      for (int i = 0; i < 5; i++) {
        offer("batch" + i, "a", 1, 2, 1, 60);
      }
      List<String> first = pollAll().subList(0, 40);
      assertEquals(2, first.stream().filter(item -> item.startsWith("batch")).count());
    }

    @Test
    void givesAnIdleCustomerNoCredit() {
      for (int i = 0; i < 10; i++) {
        offer("a" + i, "a", 1, 0, 1, 10);
      }
      for (int i = 0; i < 6; i++) {
        queue.poll();
      }
      offer("b0", "b", 1, 0, 1, 10);
      offer("b1", "b", 1, 0, 1, 10);
      List<String> polled = pollAll();
      assertTrue(polled.indexOf("b1") >= 2, "order was " + polled);
    }
  }

  @Nested
  class Bound {
    @Test
    void rejectsARequestThatWouldMissItsDeadline() {
      for (int i = 0; i < 20; i++) {
        offer("a" + i, "a", 1, 0, 1, 60);
      }
      Verdict verdict = offer("late", "a", 1, 0, 1, 1);
      Verdict.TooLate tooLate = assertInstanceOf(Verdict.TooLate.class, verdict);
      assertEquals(Duration.ofSeconds(2), tooLate.retryAfter());
      assertEquals(20, queue.size());
    }

    @Test
    void acceptsALightCustomerDespiteAHotCustomersBacklog() {
      for (int i = 0; i < 100; i++) {
        offer("hot" + i, "hot", 1, 0, 1, 60);
      }
      assertInstanceOf(Verdict.Queued.class, offer("light", "light", 1, 0, 1, 1));
    }

    @Test
    void rejectsAnItemThatIsAlreadyQueued() {
      offer("a", "a", 1, 0, 1, 60);
      assertThrows(IllegalArgumentException.class, () -> offer("a", "a", 1, 0, 1, 60));
    }
  }

  @Nested
  class Removal {
    @Test
    void pollsOnlyExpiredRequests() {
      offer("short", "a", 1, 0, 1, 1);
      offer("long", "a", 1, 0, 1, 60);
      assertEquals("short", queue.pollExpired(NOW.plusSeconds(1)).orElseThrow().item());
      assertTrue(queue.pollExpired(NOW.plusSeconds(1)).isEmpty());
      assertEquals(List.of("long"), pollAll());
    }

    @Test
    void removesARequestWhoseCallerHasDisconnected() {
      offer("a", "a", 1, 0, 1, 60);
      offer("b", "a", 1, 0, 1, 60);
      assertTrue(queue.remove("a"));
      assertEquals(List.of("b"), pollAll());
    }
  }
}
