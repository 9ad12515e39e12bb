package org.teaseldeal.bench.slope;

import java.util.Locale;
import org.teaseldeal.api.ServiceId;
import org.teaseldeal.api.TeamId;
import org.teaseldeal.ledger.AccountId;
import org.teaseldeal.ledger.entry.Entry;
import org.teaseldeal.settings.SubtreeId;

/**
 * Creates the budget and settings entries of a large fleet. Each team has ten budgets: its own and
 * those of nine services.
 */
final class SampleEntries {
  static final int BUDGETS_PER_TEAM = 10;

  /** The settings subtree of a team with two services and two customers. */
  static final String TEAM_TOML =
      """
      [services.appraisal]
      kind = "model"
      pool = "language"
      priority = "standard"
      max_output_tokens = 200
      timeout = "1h"

      [services.confirmation]
      kind = "plain"
      pool = "apps"
      priority = "interactive"
      idempotent = false
      tokens_per_call = 1

      [customers.brokers]
      token_sha256 = "aca8e312e1faa7f24c824b9f2986042687f8b586054170db1550e820e5c9f2f8"

      [customers.mill-buyers]
      token_sha256 = "f3bf7101f29d66f2dfd74835432c52e16148dab503be8f4c63906395011c07c9"
      """;

  static final String FLEET_TOML =
      """
      [pools.language]
      kind = "model"
      max_concurrent_per_server = 10000

      [pools.apps]
      kind = "plain"
      max_concurrent_per_server = 16

      [lease]
      horizon = "1m"
      max_share = 0.2
      minimum_tokens = 500

      [requests]
      progress_timeout = "10m"
      default_timeout = "1h"
      """;

  private SampleEntries() {}

  static TeamId team(int number) {
    return new TeamId(String.format(Locale.ROOT, "team-%05d", number));
  }

  static Entry budget(int number) {
    TeamId team = team(number / BUDGETS_PER_TEAM);
    int index = number % BUDGETS_PER_TEAM;
    AccountId account =
        index == 0 ? AccountId.of(team) : AccountId.of(new ServiceId(team, "service-" + index));
    return new Entry.CreateBudget(account, 1_000_000, "operator", "create-" + number);
  }

  static Entry subtree(int number, long baseRevision) {
    return new Entry.PublishSettings(
        SubtreeId.of(team(number)), baseRevision, "operator", TEAM_TOML);
  }
}
