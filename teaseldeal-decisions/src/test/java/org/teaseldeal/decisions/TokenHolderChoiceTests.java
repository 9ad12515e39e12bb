package org.teaseldeal.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class TokenHolderChoiceTests {
  private static final List<String> CUSTOMERS = names("customer", 200);

  @Test
  void choosesAllInstancesOfASmallFleet() {
    Set<String> fleet = Set.copyOf(names("instance", 9));
    CUSTOMERS.forEach(customer -> assertEquals(fleet, TokenHolderChoice.holders(customer, fleet)));
  }

  @Test
  void choosesTheSameHoldersWhateverTheOrder() {
    List<String> fleet = names("instance", 68);
    for (String customer : CUSTOMERS) {
      assertEquals(
          TokenHolderChoice.holders(customer, fleet),
          TokenHolderChoice.holders(customer, fleet.reversed()));
    }
  }

  /**
   * Guards against a log that is saturated with notes: a holder writes its notes five times a
   * second, and the log accepts 500 appends per second.
   */
  @Test
  void limitsTheNumberOfHoldersInALargeFleet() {
    for (int size : List.of(17, 68, 90, 420)) {
      List<String> fleet = names("instance", size);
      Set<String> all =
          CUSTOMERS.stream()
              .flatMap(customer -> TokenHolderChoice.holders(customer, fleet).stream())
              .collect(Collectors.toSet());
      assertTrue(
          all.size() <= 50, "%d of %d hold, expected at most 50".formatted(all.size(), size));
    }
  }

  /**
   * Guards against a fleet in which all holders change when one instance joins, which would move
   * all leases.
   */
  @ParameterizedTest
  @ValueSource(ints = {17, 19, 39, 59, 68, 79, 419})
  void keepsMostHoldersWhenAnInstanceJoins(int size) {
    List<String> before = names("instance", size);
    List<String> after = names("instance", size + 1);
    int all = 0;
    int kept = 0;
    for (String customer : CUSTOMERS) {
      Set<String> both = new HashSet<>(TokenHolderChoice.holders(customer, before));
      all += both.size();
      both.retainAll(TokenHolderChoice.holders(customer, after));
      kept += both.size();
    }
    assertTrue(6 * kept >= 5 * all, "%d holders of %d stay".formatted(kept, all));
  }

  @Test
  void spreadsRequestsOverAllHolders() {
    Set<String> holders = TokenHolderChoice.holders("customer-1", names("instance", 68));
    Map<String, Integer> first = new HashMap<>();
    for (String requester : names("asker", 900)) {
      first.merge(
          TokenHolderChoice.preferenceOrder(requester, holders).getFirst(), 1, Integer::sum);
    }
    assertEquals(holders, first.keySet());
    first.forEach((holder, count) -> assertTrue(count <= 225, holder + " is asked by " + count));
  }

  private static List<String> names(String kind, int count) {
    return IntStream.range(0, count).mapToObj(i -> kind + "-" + i).toList();
  }
}
