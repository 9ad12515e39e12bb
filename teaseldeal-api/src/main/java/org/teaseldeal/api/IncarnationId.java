package org.teaseldeal.api;

/**
 * Identifies one run of a process that writes to the ledger. A restarted process gets a new one.
 */
public record IncarnationId(String value) implements Comparable<IncarnationId> {
  public IncarnationId {
    Preconditions.requireText(value, "incarnation id");
  }

  @Override
  public int compareTo(IncarnationId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
