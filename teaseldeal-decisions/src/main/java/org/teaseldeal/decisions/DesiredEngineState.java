package org.teaseldeal.decisions;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.teaseldeal.api.EngineOrder;
import org.teaseldeal.api.EngineState;

/**
 * The desired state of an engine, from which the orders are derived that lead there from its
 * reported state.
 *
 * <p>No two of the orders affect the same object, so they may arrive in any order. Models are
 * loaded before others are unloaded, so that an engine with room for both is never without a model.
 *
 * @param models the engine's models as versions by name; empty to leave the models unchanged, so
 *     that a missing setting does not unload all models of a fleet
 * @param adapters adapters that the engine must have, as versions by name; other adapters stay
 * @param role the engine's role; empty to leave it unchanged
 */
public record DesiredEngineState(
    SortedMap<String, String> models, SortedMap<String, String> adapters, Optional<String> role) {
  public DesiredEngineState {
    models = Collections.unmodifiableSortedMap(new TreeMap<>(models));
    adapters = Collections.unmodifiableSortedMap(new TreeMap<>(adapters));
  }

  public DesiredEngineState(
      Map<String, String> models, Map<String, String> adapters, Optional<String> role) {
    this(new TreeMap<>(models), new TreeMap<>(adapters), role);
  }

  /** Returns the orders to send; none if {@code reported} equals the desired state. */
  public List<EngineOrder> ordersFrom(EngineState reported) {
    List<EngineOrder> orders = new ArrayList<>();
    addMissing(EngineOrder.Kind.LOAD_MODEL, models, reported.models(), orders);
    addMissing(EngineOrder.Kind.LOAD_ADAPTER, adapters, reported.adapters(), orders);
    role.filter(wanted -> !wanted.equals(reported.role()))
        .ifPresent(wanted -> orders.add(new EngineOrder(EngineOrder.Kind.SET_ROLE, wanted, "")));
    if (!models.isEmpty()) {
      reported.models().keySet().stream()
          .filter(name -> !models.containsKey(name))
          .forEach(name -> orders.add(new EngineOrder(EngineOrder.Kind.UNLOAD_MODEL, name, "")));
    }
    return List.copyOf(orders);
  }

  private static void addMissing(
      EngineOrder.Kind kind,
      Map<String, String> wanted,
      Map<String, String> reported,
      List<EngineOrder> orders) {
    wanted.forEach(
        (name, version) -> {
          if (!version.equals(reported.get(name))) {
            orders.add(new EngineOrder(kind, name, version));
          }
        });
  }
}
