package org.teaseldeal.gateway.plan;

import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import org.teaseldeal.api.Preconditions;
import org.teaseldeal.api.TokenCounts;

/**
 * A customer, its callers' keys and its prepaid tokens.
 *
 * @param name name of the customer
 * @param keys keys that the customer's callers present
 * @param rank priority that replaces the route's rank, if present
 * @param prepaid total number of tokens that the customer may use, at most {@link
 *     TokenCounts#MAX_TOTAL}; empty for no limit
 */
public record PrepaidCustomer(
    String name, Set<String> keys, OptionalInt rank, OptionalLong prepaid) {
  public PrepaidCustomer {
    Preconditions.requireText(name, "customer name");
    keys = Set.copyOf(keys);
    prepaid.ifPresent(
        total ->
            Preconditions.require(
                total >= 0 && total <= TokenCounts.MAX_TOTAL,
                "prepaid of %s was %d, expected 0 to %d"
                    .formatted(name, total, TokenCounts.MAX_TOTAL)));
  }
}
