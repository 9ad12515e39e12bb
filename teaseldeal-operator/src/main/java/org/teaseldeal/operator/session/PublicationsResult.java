package org.teaseldeal.operator.session;

/** What came of reading the publications of a subtree that the log still keeps. */
public sealed interface PublicationsResult {
  /** The publications. */
  record Found(Publications publications) implements PublicationsResult {}

  /** The log couldn't be read in time. */
  record Unreachable(String detail) implements PublicationsResult {}
}
