package org.teaseldeal.gateway.flow;

import java.util.HashSet;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs named tasks that are repeated, so that a failing task doesn't prevent the others from
 * running.
 *
 * <p>If a task's exception reached the caller of a whole round, the tasks after it would never run:
 * requests would wait past their deadlines while the instance reports that it is ready. An
 * exception that leaves a task of a scheduled executor ends its schedule silently.
 */
public final class IsolatedTasks {
  private static final Logger LOG = LoggerFactory.getLogger(IsolatedTasks.class);

  private final Set<String> failing = new HashSet<>();

  /** Runs {@code task} and logs when it starts to fail and when it succeeds again. */
  public void run(String name, Runnable task) {
    try {
      task.run();
    } catch (RuntimeException | Error e) {
      if (failing.add(name)) {
        LOG.error("task '{}' failed; further failures are not logged until it succeeds", name, e);
      }
      return;
    }
    if (failing.remove(name)) {
      LOG.info("task '{}' succeeded after it had failed", name);
    }
  }

  /** Forgets the failure of a task that will not be run again. */
  public void forget(String name) {
    failing.remove(name);
  }
}
