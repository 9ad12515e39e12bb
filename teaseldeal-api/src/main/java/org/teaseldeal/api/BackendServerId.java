package org.teaseldeal.api;

/**
 * Identifies one incarnation of a backend server, by the name under which the platform lists it.
 */
public record BackendServerId(String name) implements Comparable<BackendServerId> {
  public BackendServerId {
    Preconditions.requireText(name, "backend server id");
  }

  @Override
  public int compareTo(BackendServerId other) {
    return name.compareTo(other.name);
  }

  @Override
  public String toString() {
    return name;
  }
}
