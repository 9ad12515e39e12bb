package org.teaseldeal.settings;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.teaseldeal.api.CustomerId;
import org.teaseldeal.api.ServiceId;
import org.teaseldeal.api.TeamId;
import org.teaseldeal.settings.toml.TomlReader;

/** Parses a team's subtree; docs/SETTINGS.md gives the reason for each default. */
final class TeamParser {
  private static final Duration DEFAULT_TIMEOUT = Duration.ofMinutes(1);
  private static final Duration MIN_TIMEOUT = Duration.ofMillis(1);
  private static final Duration MAX_TIMEOUT = Duration.ofDays(1);
  private static final int MAX_WEIGHT = 1_000;
  private static final long MAX_OUTPUT_TOKENS = 1_000_000;
  private static final long MAX_TOKENS_PER_CALL = 1_000_000_000;

  private final TeamId team;
  private final Map<String, String> customerOfToken = new HashMap<>();

  TeamParser(TeamId team) {
    this.team = team;
  }

  TeamSettings read(TomlReader root) {
    Map<String, ServiceSettings> services = new LinkedHashMap<>();
    root.tables("services").forEach((name, table) -> services.put(name, service(name, table)));
    Map<String, CustomerSettings> customers = new LinkedHashMap<>();
    root.tables("customers")
        .forEach((name, table) -> customers.put(name, customer(name, table, services.keySet())));
    return new TeamSettings(team, customers, services);
  }

  private ServiceSettings service(String name, TomlReader table) {
    ServiceKind kind = table.enumConstant("kind", ServiceKind.class);
    boolean model = kind == ServiceKind.MODEL;
    return new ServiceSettings(
        new ServiceId(team, name),
        kind,
        table.name("pool"),
        table.text("model", name),
        table.enumConstant("priority", PriorityClass.STANDARD),
        // There is no default for plain services: if a call that is not idempotent were repeated,
        // it would take effect twice.
        model ? table.bool("idempotent", true) : table.bool("idempotent"),
        model
            ? table.longInRange("max_output_tokens", 1, MAX_OUTPUT_TOKENS)
            : rejectIfPresent(table, "max_output_tokens", "plain"),
        model
            ? rejectIfPresent(table, "tokens_per_call", "model")
            : table.longInRange("tokens_per_call", 1, MAX_TOKENS_PER_CALL),
        table.duration("timeout", DEFAULT_TIMEOUT, MIN_TIMEOUT, MAX_TIMEOUT));
  }

  private static long rejectIfPresent(TomlReader table, String key, String kind) {
    if (table.has(key)) {
      table.addProblem(
          key, "was given, expected none for a service of kind \"%s\"".formatted(kind));
    }
    return 0;
  }

  private CustomerSettings customer(String name, TomlReader table, Set<String> services) {
    String token = table.sha256("token_sha256");
    String existingCustomer = customerOfToken.putIfAbsent(token, name);
    if (existingCustomer != null && !token.equals(TomlReader.PLACEHOLDER_SHA256)) {
      table.addProblem(
          "token_sha256",
          "was the same as of customer %s, expected one of its own".formatted(existingCustomer));
    }
    List<String> allowed = table.textList("services");
    allowed.stream()
        .filter(service -> !services.contains(service))
        .forEach(service -> table.addProblem("services", unknownService(service, services)));
    return new CustomerSettings(
        new CustomerId(team, name),
        token,
        new LinkedHashSet<>(allowed),
        table.intInRange("weight", 1, 1, MAX_WEIGHT));
  }

  private static String unknownService(String service, Set<String> services) {
    return "was \"%s\", expected a service of this team: %s"
        .formatted(service, services.isEmpty() ? "it has none" : String.join(", ", services));
  }
}
