package org.teaseldeal.gateway.flow;

import java.util.HashSet;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs steps that are repeated so that one that fails holds up no other.
 *
 * <p>If one step threw each time, those after it would never run: requests would wait past their
 * deadlines while the instance says that it is ready. An error that left a scheduled task would end
 * its schedule without a word.
 */
public final class GuardedSteps {
  private static final Logger LOG = LoggerFactory.getLogger(GuardedSteps.class);

  private final Set<String> failing = new HashSet<>();

  /** Runs {@code step}; logs when it begins to fail and when it is well again. */
  public void run(String name, Runnable step) {
    try {
      step.run();
    } catch (RuntimeException | Error e) {
      if (failing.add(name)) {
        LOG.error("step '{}' fails", name, e);
      }
      return;
    }
    if (failing.remove(name)) {
      LOG.info("step '{}' is well again", name);
    }
  }

  /** Forgets a step that is over. */
  public void forget(String name) {
    failing.remove(name);
  }
}
