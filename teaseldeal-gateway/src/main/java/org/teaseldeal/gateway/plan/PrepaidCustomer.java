package org.teaseldeal.gateway.plan;

import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import org.teaseldeal.api.Preconditions;

/**
 * A customer, the keys that its callers present, and what it has paid for.
 *
 * @param rank takes the place of the route's rank, if there is one
 * @param prepaid tokens that it may use in all; no bound if empty
 */
public record PrepaidCustomer(
    String name, Set<String> keys, OptionalInt rank, OptionalLong prepaid) {
  public PrepaidCustomer {
    Preconditions.requireText(name, "customer name");
    keys = Set.copyOf(keys);
    prepaid.ifPresent(total -> Preconditions.requireNotNegative(total, "prepaid of " + name));
  }
}
