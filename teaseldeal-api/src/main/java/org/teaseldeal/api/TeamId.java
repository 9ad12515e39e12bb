package org.teaseldeal.api;

/** Identifies a team, which owns one subtree of the settings. */
public record TeamId(String name) implements Comparable<TeamId> {
  public TeamId {
    Preconditions.requireName(name, "team name");
  }

  @Override
  public int compareTo(TeamId other) {
    return name.compareTo(other.name);
  }

  @Override
  public String toString() {
    return name;
  }
}
