package org.teaseldeal.settings;

import java.util.Map;
import org.teaseldeal.api.TeamId;

/** Settings of a team's subtree: its customers and services, each by name. */
public record TeamSettings(
    TeamId team, Map<String, CustomerSettings> customers, Map<String, ServiceSettings> services) {
  public TeamSettings {
    customers = Map.copyOf(customers);
    services = Map.copyOf(services);
  }
}
