package org.teaseldeal.api;

import java.util.Collections;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The state that an engine reports: its role, and the versions of its models and adapters by their
 * names.
 */
public record EngineState(
    SortedMap<String, String> models, SortedMap<String, String> adapters, String role) {
  public EngineState {
    models = Collections.unmodifiableSortedMap(new TreeMap<>(models));
    adapters = Collections.unmodifiableSortedMap(new TreeMap<>(adapters));
  }

  public EngineState(Map<String, String> models, Map<String, String> adapters, String role) {
    this(new TreeMap<>(models), new TreeMap<>(adapters), role);
  }
}
