package org.teaseldeal.standin.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Guards against orders with an outdated fencing token that undo the orders of a newer holder. */
class EngineConfigurationTests {
  // The holder of an older fencing token was paused, and sends its order after its successor's.
  @Test
  void engineThatChecksFencingRejectsALowerToken() {
    EngineConfiguration configuration = new EngineConfiguration(true);
    assertTrue(configuration.apply(7, OrderKind.LOAD_MODEL, "wool", "2"));
    assertFalse(configuration.apply(6, OrderKind.LOAD_MODEL, "wool", "1"));
    assertTrue(configuration.apply(7, OrderKind.SET_ROLE, "prefill", ""));
    assertEquals(7, configuration.highestFencing());
    assertEquals(
        "{\"models\":{\"wool\":\"2\"},\"adapters\":{},\"role\":\"prefill\"}",
        configuration.toJson().toString());
  }

  @Test
  void engineThatIgnoresFencingAppliesAnOutdatedOrder() {
    EngineConfiguration configuration = new EngineConfiguration(false);
    assertTrue(configuration.apply(7, OrderKind.LOAD_MODEL, "wool", "2"));
    assertTrue(configuration.apply(6, OrderKind.UNLOAD_MODEL, "wool", ""));
    assertEquals("{}", configuration.toJson().get("models").toString());
  }
}
