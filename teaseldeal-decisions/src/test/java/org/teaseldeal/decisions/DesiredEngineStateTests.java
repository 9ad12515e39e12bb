package org.teaseldeal.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.teaseldeal.api.EngineOrder;
import org.teaseldeal.api.EngineOrder.Kind;
import org.teaseldeal.api.EngineState;

class DesiredEngineStateTests {
  private final DesiredEngineState desired =
      new DesiredEngineState(
          Map.of("clerk", "3", "small", "1"), Map.of("wool", "7"), Optional.of("decode"));

  @Test
  void loadsMissingVersionsAndUnloadsOthersLast() {
    EngineState reported =
        new EngineState(Map.of("clerk", "2", "old", "9"), Map.of("silk", "1"), "mixed");
    assertEquals(
        List.of(
            new EngineOrder(Kind.LOAD_MODEL, "clerk", "3"),
            new EngineOrder(Kind.LOAD_MODEL, "small", "1"),
            new EngineOrder(Kind.LOAD_ADAPTER, "wool", "7"),
            new EngineOrder(Kind.SET_ROLE, "decode", ""),
            new EngineOrder(Kind.UNLOAD_MODEL, "old", "")),
        desired.ordersFrom(reported));
  }

  @Test
  void ordersNothingIfTheStateIsReached() {
    EngineState reported =
        new EngineState(
            Map.of("clerk", "3", "small", "1"), Map.of("wool", "7", "silk", "1"), "decode");
    assertEquals(List.of(), desired.ordersFrom(reported));
  }

  @Test
  void leavesUnspecifiedStateUnchanged() {
    DesiredEngineState nothing = new DesiredEngineState(Map.of(), Map.of(), Optional.empty());
    EngineState reported = new EngineState(Map.of("clerk", "2"), Map.of("silk", "1"), "mixed");
    assertEquals(List.of(), nothing.ordersFrom(reported));
  }
}
