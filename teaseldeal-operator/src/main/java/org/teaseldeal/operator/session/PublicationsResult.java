package org.teaseldeal.operator.session;

/** The result of reading the publications of a subtree that the log still retains. */
public sealed interface PublicationsResult {
  /** The publications were read. */
  record Found(Publications publications) implements PublicationsResult {}

  /** The log couldn't be read within the timeout; {@code detail} says why. */
  record Unreachable(String detail) implements PublicationsResult {}
}
