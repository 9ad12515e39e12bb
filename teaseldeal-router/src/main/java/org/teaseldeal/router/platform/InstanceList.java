package org.teaseldeal.router.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.teaseldeal.api.BackendServerId;
import org.teaseldeal.api.DataCentre;
import org.teaseldeal.api.InstanceId;
import org.teaseldeal.core.ListedInstance;
import org.teaseldeal.core.ListedServer;
import org.teaseldeal.net.IpAddresses;
import org.teaseldeal.router.json.Json;

/**
 * The platform's instance list.
 *
 * @param routers the listed routers
 * @param engines the listed model engines
 * @param services the listed plain services
 * @param unreadableEntries the number of entries that were skipped because they can't be read; one
 *     invalid entry must not make the others unavailable
 */
record InstanceList(
    List<ListedInstance> routers,
    List<ListedServer> engines,
    List<ListedServer> services,
    int unreadableEntries) {
  static InstanceList read(byte[] body) {
    JsonNode instances = Json.readObject(body).path("instances");
    if (!instances.isArray()) {
      throw new IllegalArgumentException("the list has no instances");
    }
    InstanceList list =
        new InstanceList(new ArrayList<>(), new ArrayList<>(), new ArrayList<>(), 0);
    int unreadable = 0;
    for (JsonNode entry : instances) {
      try {
        list.add(entry);
      } catch (IllegalArgumentException e) {
        unreadable++;
      }
    }
    return new InstanceList(list.routers, list.engines, list.services, unreadable);
  }

  List<ListedServer> servers() {
    List<ListedServer> all = new ArrayList<>(engines);
    all.addAll(services);
    return all;
  }

  private void add(JsonNode entry) {
    switch (text(entry, "role")) {
      case "router" -> routers.add(router(entry));
      case "engine" -> engines.add(server(entry));
      case "service" -> services.add(server(entry));
      default -> throw new IllegalArgumentException("unknown role");
    }
  }

  private static ListedInstance router(JsonNode entry) {
    return new ListedInstance(
        new InstanceId(text(entry, "id")),
        address(entry, "peer_address"),
        new DataCentre(text(entry, "data_centre")),
        leaving(entry));
  }

  private static ListedServer server(JsonNode entry) {
    return new ListedServer(
        new BackendServerId(text(entry, "incarnation")),
        text(entry, "pool"),
        address(entry, "address"),
        new DataCentre(text(entry, "data_centre")),
        leaving(entry));
  }

  private static boolean leaving(JsonNode entry) {
    return text(entry, "state").equals("leaving");
  }

  private static String address(JsonNode entry, String field) {
    String address = text(entry, field);
    IpAddresses.parse(address);
    return address;
  }

  private static String text(JsonNode entry, String field) {
    if (!entry.path(field).isTextual()) {
      throw new IllegalArgumentException("%s is absent".formatted(field));
    }
    return entry.get(field).asText();
  }
}
