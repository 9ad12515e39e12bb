package org.teaseldeal.api;

/** States what is known of whether a refused or failed request was run. */
public enum RunStatus {
  /** No backend server has been or will be given the request. */
  NOT_RUN("not-run"),
  /** A backend server ran the request. */
  RAN("ran"),
  /** A backend server may have run the request. */
  UNKNOWN("unknown");

  private final String label;

  RunStatus(String label) {
    this.label = label;
  }

  /** Returns the name that callers see. */
  public String label() {
    return label;
  }
}
