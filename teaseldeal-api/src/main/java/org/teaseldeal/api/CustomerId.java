package org.teaseldeal.api;

import java.util.Comparator;

/**
 * Identifies a customer of a team, on whose behalf a caller presents a token. Written as {@code
 * team/customer}.
 */
public record CustomerId(TeamId team, String name) implements Comparable<CustomerId> {
  private static final Comparator<CustomerId> ORDER =
      Comparator.comparing(CustomerId::team).thenComparing(CustomerId::name);

  public CustomerId {
    Preconditions.requireName(name, "customer name");
  }

  /** Parses {@code team/customer}. */
  public static CustomerId parse(String text) {
    int slash = text.indexOf('/');
    Preconditions.require(slash > 0, "customer was '%s', expected team/customer".formatted(text));
    return new CustomerId(new TeamId(text.substring(0, slash)), text.substring(slash + 1));
  }

  @Override
  public int compareTo(CustomerId other) {
    return ORDER.compare(this, other);
  }

  @Override
  public String toString() {
    return team + "/" + name;
  }
}
