package org.teaseldeal.gateway.quarantine;

/** What shows that a server crashed. The name appears in logs and metrics. */
enum CrashProof {
  /** Neither this instance nor the ones that it asked can connect to it. */
  UNREACHABLE,
  /** It is gone from the list, or listed with a later start. */
  NOT_LISTED
}
