package org.teaseldeal.gateway.account;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import org.teaseldeal.decisions.TokenHolderChoice;

/** The holders of each customer's total, as the fleet is known now. */
public final class TokenHolders {
  /**
   * One customer's holders.
   *
   * @param others in the order in which this instance asks them
   */
  private record Holders(boolean own, int count, List<String> others) {}

  private final String instance;
  private final Supplier<Set<String>> fleet;
  private final Map<String, Holders> byCustomer = new HashMap<>();
  private Set<String> known = Set.of();
  private Set<String> ofAny = Set.of();

  /**
   * Creates the holders as {@code instance} sees them.
   *
   * @param fleet the names of all instances; an unmodifiable set, another one after each change
   */
  public TokenHolders(String instance, Supplier<Set<String>> fleet) {
    this.instance = instance;
    this.fleet = fleet;
  }

  /** Whether this instance holds parts of any customers' totals, now or once there are such. */
  boolean holdsAny() {
    follow();
    return ofAny.contains(instance);
  }

  /** Whether this instance holds a part of the customer's total. */
  boolean holds(String customer) {
    return of(customer).own();
  }

  /** Among how many the customer's total is divided. */
  int count(String customer) {
    return of(customer).count();
  }

  /** The other holders of the customer's total, in the order to ask them. */
  List<String> others(String customer) {
    return of(customer).others();
  }

  private Holders of(String customer) {
    follow();
    return byCustomer.computeIfAbsent(customer, this::choose);
  }

  private void follow() {
    Set<String> now = fleet.get();
    if (now != known) {
      known = now;
      byCustomer.clear();
      ofAny = TokenHolderChoice.ofAny(now);
    }
  }

  private Holders choose(String customer) {
    Set<String> holders = TokenHolderChoice.of(customer, known);
    List<String> others =
        TokenHolderChoice.order(instance, holders).stream()
            .filter(each -> !each.equals(instance))
            .toList();
    return new Holders(holders.contains(instance), holders.size(), others);
  }
}
