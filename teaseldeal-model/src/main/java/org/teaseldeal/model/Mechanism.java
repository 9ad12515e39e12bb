package org.teaseldeal.model;

/** A mechanism of the gateway that can be switched off, to compare results with and without it. */
public enum Mechanism {
  /** Instances draw idle tokens from each other while the shared log is slow or unreachable. */
  DRAWS,
  /** Instances take into account what their peers have outstanding at the backend servers. */
  LOADS,
  /** Instances take into account which prompts their peers have sent to the servers' caches. */
  CACHES,
  /** Instances that receive messages from no peer stop asking token holders. */
  ISOLATION
}
