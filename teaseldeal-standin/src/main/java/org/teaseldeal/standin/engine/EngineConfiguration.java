package org.teaseldeal.standin.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.TreeMap;
import org.teaseldeal.standin.runtime.Json;

/**
 * The loaded models, the loaded adapters and the role of an engine, which orders change.
 *
 * <p>An engine that checks fencing rejects an order whose fencing token is lower than the highest
 * that it has seen. An engine that doesn't applies every order, so an outdated order can undo a
 * newer one.
 */
final class EngineConfiguration {
  private final boolean checksFencing;
  private final Map<String, String> models = new TreeMap<>();
  private final Map<String, String> adapters = new TreeMap<>();
  private String role = "mixed";
  private long highestFencing = -1;

  EngineConfiguration(boolean checksFencing) {
    this.checksFencing = checksFencing;
  }

  /** Applies an order; returns false if it is rejected because its fencing token is too low. */
  boolean apply(long fencing, OrderKind kind, String target, String version) {
    if (checksFencing && fencing < highestFencing) {
      return false;
    }
    highestFencing = Math.max(highestFencing, fencing);
    switch (kind) {
      case LOAD_MODEL -> models.put(target, version);
      case UNLOAD_MODEL -> models.remove(target);
      case LOAD_ADAPTER -> adapters.put(target, version);
      case SET_ROLE -> role = target;
    }
    return true;
  }

  long highestFencing() {
    return highestFencing;
  }

  ObjectNode toJson() {
    ObjectNode node = Json.object();
    ObjectNode loadedModels = node.putObject("models");
    models.forEach(loadedModels::put);
    ObjectNode loadedAdapters = node.putObject("adapters");
    adapters.forEach(loadedAdapters::put);
    return node.put("role", role);
  }
}
