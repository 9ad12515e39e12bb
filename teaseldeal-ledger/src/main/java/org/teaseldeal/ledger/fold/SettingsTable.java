package org.teaseldeal.ledger.fold;

import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.teaseldeal.api.TeamId;
import org.teaseldeal.ledger.entry.Entry;
import org.teaseldeal.ledger.outcome.Outcome;
import org.teaseldeal.ledger.state.SubtreeView;
import org.teaseldeal.settings.FleetSettings;
import org.teaseldeal.settings.SettingsProblem;
import org.teaseldeal.settings.SubtreeId;
import org.teaseldeal.settings.TeamSettings;

/** Holds the settings subtrees in force and caches their parsed form. */
final class SettingsTable {
  private static final String NO_AUTHOR = "nobody";

  private final SettingsValidator validator;
  private final TreeMap<SubtreeId, SubtreeView> subtrees = new TreeMap<>();
  private final TreeMap<SubtreeId, Optional<TeamSettings>> parsedTeams = new TreeMap<>();
  private @Nullable Optional<FleetSettings> fleet;

  SettingsTable(SettingsValidator validator) {
    this.validator = validator;
  }

  /**
   * Puts a subtree in force at {@code revision} if the publication is based on the revision
   * currently in force.
   */
  Outcome publish(Entry.PublishSettings entry, long revision) {
    SubtreeId subtree = entry.subtree();
    SubtreeView current = subtrees.get(subtree);
    long currentRevision = current == null ? 0 : current.revision();
    if (entry.baseRevision() != currentRevision) {
      String winner = current == null ? NO_AUTHOR : current.author();
      return new Outcome.SettingsOutdated(subtree, currentRevision, winner);
    }
    List<SettingsProblem> problems = problems(entry);
    if (!problems.isEmpty()) {
      return new Outcome.SettingsInvalid(subtree, problems);
    }
    put(new SubtreeView(subtree, revision, entry.author(), entry.toml()));
    return new Outcome.SettingsAccepted(subtree, revision, entry.author());
  }

  private List<SettingsProblem> problems(Entry.PublishSettings entry) {
    try {
      return validator.problems(entry.subtree(), entry.toml());
    } catch (RuntimeException e) {
      // If the exception left the fold, every instance would stop at this offset. Instead every
      // instance refuses the text, because the parser's result depends on the text alone.
      return List.of(new SettingsProblem("", 1, "could not be checked: " + e));
    }
  }

  private void put(SubtreeView view) {
    subtrees.put(view.subtree(), view);
    if (view.subtree().isFleet()) {
      fleet = null;
    } else {
      parsedTeams.remove(view.subtree());
    }
  }

  Optional<SubtreeView> find(SubtreeId subtree) {
    return Optional.ofNullable(subtrees.get(subtree));
  }

  List<SubtreeView> all() {
    return List.copyOf(subtrees.values());
  }

  Optional<FleetSettings> fleet() {
    Optional<FleetSettings> parsed = fleet;
    if (parsed == null) {
      parsed = find(SubtreeId.FLEET).flatMap(view -> validator.fleet(view.toml()));
      fleet = parsed;
    }
    return parsed;
  }

  Optional<TeamSettings> team(TeamId team) {
    SubtreeView view = subtrees.get(SubtreeId.of(team));
    if (view == null) {
      return Optional.empty();
    }
    return parsedTeams.computeIfAbsent(
        view.subtree(), subtree -> validator.team(subtree, view.toml()));
  }

  void write(StateWriter out) {
    out.number(subtrees.size());
    for (SubtreeView view : subtrees.values()) {
      out.text(view.subtree().value()).number(view.revision());
      out.text(view.author()).text(view.toml());
    }
  }

  static SettingsTable read(StateReader in, SettingsValidator validator) {
    SettingsTable table = new SettingsTable(validator);
    int count = in.count();
    for (int i = 0; i < count; i++) {
      table.put(new SubtreeView(new SubtreeId(in.text()), in.number(), in.text(), in.text()));
    }
    return table;
  }
}
