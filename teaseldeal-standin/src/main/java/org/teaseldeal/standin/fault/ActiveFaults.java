package org.teaseldeal.standin.fault;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.stream.Collectors;
import org.teaseldeal.settings.SettingsParser.Parsed;
import org.teaseldeal.settings.toml.TomlDocument;
import org.teaseldeal.standin.runtime.Json;

/** The fault settings in force, which can be changed at run time through the admin address. */
public final class ActiveFaults<F extends Record & FaultSettings> {
  private final FaultReader<F> reader;
  private volatile F current;
  private volatile SeededChance chance;

  public ActiveFaults(F initial, FaultReader<F> reader) {
    this.current = initial;
    this.chance = new SeededChance(initial.seed());
    this.reader = reader;
  }

  /** Returns the settings in force. */
  public F current() {
    return current;
  }

  /** Decides at random whether to inject a fault that affects {@code share} of all cases. */
  public boolean shouldInject(double share) {
    return chance.occurs(share);
  }

  /** Draws a number from 0 to below {@code bound}. */
  public int draw(int bound) {
    return chance.draw(bound);
  }

  /**
   * Puts the keys of {@code changes} in force; all others keep their values. A seed restarts the
   * random decisions, even if it is the seed in force.
   *
   * @throws IllegalArgumentException with all problems found; nothing is changed then
   */
  public void update(ObjectNode changes) {
    switch (TomlDocument.read(toml(changes), table -> reader.read(table, current))) {
      case Parsed.Valid<F>(F faults) -> activate(faults, changes.has("seed"));
      case Parsed.Invalid<F> invalid ->
          throw new IllegalArgumentException(
              invalid.problems().stream()
                  .map(problem -> problem.path() + ": " + problem.message())
                  .collect(Collectors.joining("; ")));
    }
  }

  private void activate(F faults, boolean reseeded) {
    current = faults;
    if (reseeded) {
      chance = new SeededChance(faults.seed());
    }
  }

  // JSON and TOML write scalars the same way, so the reader of settings files can check requests
  // too.
  private static String toml(ObjectNode changes) {
    return changes.properties().stream()
        .map(ActiveFaults::tomlLine)
        .collect(Collectors.joining("\n"));
  }

  private static String tomlLine(Map.Entry<String, JsonNode> field) {
    JsonNode value = field.getValue();
    if (value.isContainerNode() || value.isNull()) {
      throw new IllegalArgumentException(
          "%s: was %s, expected a number, text, true or false".formatted(field.getKey(), value));
    }
    JsonNode key = Json.MAPPER.getNodeFactory().textNode(field.getKey());
    return key + " = " + value;
  }
}
