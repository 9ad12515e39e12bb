package org.teaseldeal.api;

import java.util.Comparator;

/** Identifies a service of a team. Written as {@code team/service}. */
public record ServiceId(TeamId team, String name) implements Comparable<ServiceId> {
  private static final Comparator<ServiceId> ORDER =
      Comparator.comparing(ServiceId::team).thenComparing(ServiceId::name);

  public ServiceId {
    Preconditions.requireName(name, "service name");
  }

  /** Creates the id of the service {@code name} of {@code team}. */
  public static ServiceId of(String team, String name) {
    return new ServiceId(new TeamId(team), name);
  }

  /** Parses {@code team/service}. */
  public static ServiceId parse(String text) {
    int slash = text.indexOf('/');
    Preconditions.require(slash > 0, "service was '%s', expected team/service".formatted(text));
    return of(text.substring(0, slash), text.substring(slash + 1));
  }

  @Override
  public int compareTo(ServiceId other) {
    return ORDER.compare(this, other);
  }

  @Override
  public String toString() {
    return team + "/" + name;
  }
}
