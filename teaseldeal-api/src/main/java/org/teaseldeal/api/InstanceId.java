package org.teaseldeal.api;

/**
 * Identifies an entry instance within the fleet. Unlike its incarnation id, it survives restarts.
 */
public record InstanceId(String name) implements Comparable<InstanceId> {
  public InstanceId {
    Preconditions.requireName(name, "instance name");
  }

  @Override
  public int compareTo(InstanceId other) {
    return name.compareTo(other.name);
  }

  @Override
  public String toString() {
    return name;
  }
}
