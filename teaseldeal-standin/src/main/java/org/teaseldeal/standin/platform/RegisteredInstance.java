package org.teaseldeal.standin.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import java.util.Set;
import org.teaseldeal.standin.runtime.Json;

/** The registration of an instance. */
record RegisteredInstance(
    String id,
    String incarnation,
    String role,
    Optional<String> pool,
    String address,
    Optional<String> peerAddress,
    Optional<String> adminAddress,
    String dataCentre,
    boolean leaving) {
  private static final Set<String> ROLES = Set.of("router", "engine", "service");
  private static final Set<String> STATES = Set.of("live", "leaving");

  /**
   * Reads a registration.
   *
   * @throws IllegalArgumentException if a field is absent or has an invalid value
   */
  static RegisteredInstance read(String id, ObjectNode body) {
    return new RegisteredInstance(
        id,
        text(body, "incarnation"),
        oneOf(body, "role", ROLES),
        optional(body, "pool"),
        text(body, "address"),
        optional(body, "peer_address"),
        optional(body, "admin_address"),
        text(body, "data_centre"),
        body.has("state") && oneOf(body, "state", STATES).equals("leaving"));
  }

  RegisteredInstance asLeaving() {
    return new RegisteredInstance(
        id, incarnation, role, pool, address, peerAddress, adminAddress, dataCentre, true);
  }

  ObjectNode toJson() {
    ObjectNode node = Json.object().put("id", id).put("incarnation", incarnation).put("role", role);
    pool.ifPresent(value -> node.put("pool", value));
    node.put("address", address);
    peerAddress.ifPresent(value -> node.put("peer_address", value));
    adminAddress.ifPresent(value -> node.put("admin_address", value));
    return node.put("data_centre", dataCentre).put("state", leaving ? "leaving" : "live");
  }

  private static String text(ObjectNode body, String key) {
    return optional(body, key)
        .orElseThrow(
            () ->
                new IllegalArgumentException(
                    "%s was absent or blank, expected text".formatted(key)));
  }

  private static String oneOf(ObjectNode body, String key, Set<String> allowed) {
    String value = text(body, key);
    if (!allowed.contains(value)) {
      throw new IllegalArgumentException(
          "%s was '%s', expected one of %s".formatted(key, value, allowed));
    }
    return value;
  }

  private static Optional<String> optional(ObjectNode body, String key) {
    return Optional.ofNullable(body.get(key))
        .filter(JsonNode::isTextual)
        .map(JsonNode::asText)
        .filter(text -> !text.isBlank());
  }
}
