package org.teaseldeal.ledger;

import java.util.Optional;
import org.teaseldeal.api.ServiceId;
import org.teaseldeal.api.TeamId;

/**
 * Identifies a prepaid budget, which belongs to a team or to one of its services. Charges of a
 * service draw on both budgets.
 */
public record AccountId(TeamId team, Optional<String> service) implements Comparable<AccountId> {
  /** Returns the id of the team's own budget. */
  public static AccountId of(TeamId team) {
    return new AccountId(team, Optional.empty());
  }

  /** Returns the id of the budget of one service. */
  public static AccountId of(ServiceId service) {
    return new AccountId(service.team(), Optional.of(service.name()));
  }

  /** Parses {@code team} or {@code team/service}. */
  public static AccountId parse(String text) {
    return text.indexOf('/') < 0 ? of(new TeamId(text)) : of(ServiceId.parse(text));
  }

  @Override
  public int compareTo(AccountId other) {
    return toString().compareTo(other.toString());
  }

  @Override
  public String toString() {
    return service.map(name -> team + "/" + name).orElse(team.name());
  }
}
