package org.teaseldeal.settings;

import org.teaseldeal.api.Preconditions;
import org.teaseldeal.api.TeamId;

/** The name of a subtree of the settings tree: {@code fleet} or {@code team/NAME}. */
public record SubtreeId(String value) implements Comparable<SubtreeId> {
  /** The fleet's subtree, whose settings apply to all teams. */
  public static final SubtreeId FLEET = new SubtreeId("fleet");

  private static final String TEAM_PREFIX = "team/";

  public SubtreeId {
    Preconditions.require(
        value.equals("fleet") || value.startsWith(TEAM_PREFIX),
        "subtree was '%s', expected fleet or team/NAME".formatted(value));
    if (value.startsWith(TEAM_PREFIX)) {
      Preconditions.requireName(value.substring(TEAM_PREFIX.length()), "team name");
    }
  }

  /** Returns the name of {@code team}'s subtree. */
  public static SubtreeId of(TeamId team) {
    return new SubtreeId(TEAM_PREFIX + team);
  }

  /** Returns whether this is the fleet's subtree. */
  public boolean isFleet() {
    return equals(FLEET);
  }

  /** Returns the team that the subtree belongs to; throws if this is the fleet's subtree. */
  public TeamId team() {
    Preconditions.require(!isFleet(), "subtree was fleet, expected a team's");
    return new TeamId(value.substring(TEAM_PREFIX.length()));
  }

  @Override
  public int compareTo(SubtreeId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
