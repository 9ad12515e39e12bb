package org.teaseldeal.core.part;

import org.teaseldeal.settings.ServiceSettings;

/** Decides whether a request that may already have run may run on another server. */
@FunctionalInterface
public interface RerunRule {
  /** Allows a rerun only if the service is declared idempotent in its settings. */
  RerunRule IDEMPOTENT_ONLY = ServiceSettings::idempotent;

  /** Returns whether a request of {@code service} may run again. */
  boolean mayRerun(ServiceSettings service);
}
