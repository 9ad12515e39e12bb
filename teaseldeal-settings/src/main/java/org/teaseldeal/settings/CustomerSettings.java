package org.teaseldeal.settings;

import java.util.Set;
import java.util.regex.Pattern;
import org.teaseldeal.api.CustomerId;
import org.teaseldeal.api.Preconditions;

/**
 * Settings of one customer of a team.
 *
 * @param tokenSha256 the SHA-256 of the customer's bearer token, as 64 lower-case hexadecimal
 *     digits
 * @param services the names of the team's services that the customer may call; empty for all
 * @param weight the customer's share of a service under load, relative to the other customers'
 */
public record CustomerSettings(
    CustomerId id, String tokenSha256, Set<String> services, int weight) {
  private static final Pattern SHA256 = Pattern.compile("[0-9a-f]{64}");

  public CustomerSettings {
    Preconditions.require(
        SHA256.matcher(tokenSha256).matches(),
        "token_sha256 was %d characters, expected 64 hexadecimal digits"
            .formatted(tokenSha256.length()));
    services = Set.copyOf(services);
    Preconditions.requirePositive(weight, "weight");
  }

  /** Returns whether this customer may call the service {@code name}. */
  public boolean mayCall(String name) {
    return services.isEmpty() || services.contains(name);
  }
}
