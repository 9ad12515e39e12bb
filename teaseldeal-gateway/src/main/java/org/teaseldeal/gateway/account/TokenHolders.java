package org.teaseldeal.gateway.account;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import org.teaseldeal.decisions.TokenHolderChoice;

/**
 * Determines which instances hold parts of each customer's total, according to the current fleet.
 */
public final class TokenHolders {
  /**
   * The holders of one customer's total.
   *
   * @param includesSelf whether this instance is one of them
   * @param count number of holders
   * @param otherHolders the other holders, in the order in which this instance asks them
   */
  private record Holders(boolean includesSelf, int count, List<String> otherHolders) {}

  private final String instance;
  private final Supplier<Set<String>> fleet;
  private final Map<String, Holders> byCustomer = new HashMap<>();
  private Set<String> knownFleet = Set.of();
  private Set<String> holdersOfAnyCustomer = Set.of();

  /**
   * Creates the view of {@code instance}.
   *
   * @param fleet supplies the names of all instances as an unmodifiable set; a change of the fleet
   *     must yield a different set object
   */
  public TokenHolders(String instance, Supplier<Set<String>> fleet) {
    this.instance = instance;
    this.fleet = fleet;
  }

  /** Returns whether this instance is a holder for any customers, whether or not they exist yet. */
  boolean holdsAny() {
    refresh();
    return holdersOfAnyCustomer.contains(instance);
  }

  /** Returns whether this instance holds a part of the customer's total. */
  boolean holds(String customer) {
    return holdersOf(customer).includesSelf();
  }

  /** Returns the number of instances among which the customer's total is divided. */
  int count(String customer) {
    return holdersOf(customer).count();
  }

  /** Returns the other holders of the customer's total in the order in which to ask them. */
  List<String> otherHolders(String customer) {
    return holdersOf(customer).otherHolders();
  }

  private Holders holdersOf(String customer) {
    refresh();
    return byCustomer.computeIfAbsent(customer, this::choose);
  }

  private void refresh() {
    Set<String> current = fleet.get();
    if (current != knownFleet) {
      knownFleet = current;
      byCustomer.clear();
      holdersOfAnyCustomer = TokenHolderChoice.holdersOfAnyCustomer(current);
    }
  }

  private Holders choose(String customer) {
    Set<String> holders = TokenHolderChoice.holders(customer, knownFleet);
    List<String> otherHolders =
        TokenHolderChoice.preferenceOrder(instance, holders).stream()
            .filter(each -> !each.equals(instance))
            .toList();
    return new Holders(holders.contains(instance), holders.size(), otherHolders);
  }
}
