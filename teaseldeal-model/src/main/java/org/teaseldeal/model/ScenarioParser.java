package org.teaseldeal.model;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.teaseldeal.settings.SettingsParser.Parsed;
import org.teaseldeal.settings.toml.TomlDocument;
import org.teaseldeal.settings.toml.TomlReader;

/** Reads a scenario from TOML and reports all problems of the text at once. */
public final class ScenarioParser {
  private static final Duration MAX_DURATION = Duration.ofMinutes(10);
  private static final int MAX_COUNT = 1_000_000;

  private ScenarioParser() {}

  /** Parses the text of a scenario file. */
  public static Parsed<Scenario> parse(String toml) {
    return TomlDocument.read(toml, ScenarioParser::read);
  }

  private static Scenario read(TomlReader root) {
    List<Scenario.Kind> kinds = new ArrayList<>();
    root.tables("kinds").forEach((name, kind) -> kinds.add(kind(name, kind)));
    if (kinds.isEmpty()) {
      root.addProblem("kinds", "were empty, expected at least one kind of request");
      kinds.add(kind("none", root.table("none")));
    }
    List<Scenario.Fault> faults = new ArrayList<>();
    root.tables("faults").values().forEach(fault -> faults.add(fault(fault)));
    return new Scenario(
        root.name("name"),
        root.text("title"),
        root.smallInteger("instances", 9, 1, 1_000),
        root.smallInteger("data_centres", 3, 1, 100),
        duration(root, "duration", Duration.ofSeconds(30)),
        customers(root.table("customers")),
        log(root.table("log")),
        links(root.table("links")),
        engines(root.table("engines")),
        services(root.table("services")),
        kinds,
        faults);
  }

  private static Scenario.Customers customers(TomlReader table) {
    return new Scenario.Customers(
        table.smallInteger("count", 10, 1, MAX_COUNT),
        table.integer("prepaid", 1_000_000, 0, Long.MAX_VALUE),
        table.fraction("skew", 1, 0, 3));
  }

  private static Scenario.Log log(TomlReader table) {
    return new Scenario.Log(
        millis(table, "append_ms", 2),
        millis(table, "answer_ms", 4),
        duration(table, "history", Duration.ofSeconds(20)));
  }

  private static Scenario.Links links(TomlReader table) {
    return new Scenario.Links(
        table.fraction("rate_mbit", 14, 0.1, 100_000),
        millis(table, "delay_ms", 0.5),
        table.fraction("loss", 0, 0, 1));
  }

  private static Scenario.Engines engines(TomlReader table) {
    return new Scenario.Engines(
        table.smallInteger("count", 8, 1, 10_000),
        table.smallInteger("places", 16, 1, 1_000),
        millis(table, "step_ms", 3.88),
        millis(table, "step_per_place_ms", 0.028),
        table.fraction("prompt_tokens_per_milli", 66, 0.1, 100_000),
        table.smallInteger("chunk", 2_048, 1, MAX_COUNT),
        table.integer("cache_tokens", 300_000, 0, Long.MAX_VALUE),
        table.smallInteger("tokens_per_event", 4, 1, 1_000));
  }

  private static Scenario.Services services(TomlReader table) {
    return new Scenario.Services(
        table.smallInteger("count", 3, 1, 10_000),
        table.smallInteger("places", 6, 1, 1_000),
        table.smallInteger("queue", 24, 0, 10_000),
        millis(table, "work_ms", 43));
  }

  private static Scenario.Kind kind(String name, TomlReader kind) {
    return new Scenario.Kind(
        name,
        kind.oneOf("answer", Scenario.Answer.STREAM),
        kind.fraction("per_second", 1, 0.001, MAX_COUNT),
        duration(kind, "aim", Duration.ofMillis(400)),
        duration(kind, "pause_aim", Duration.ofMillis(300)),
        duration(kind, "deadline", Duration.ofSeconds(10)),
        kind.fraction("worth", 1, 0, MAX_COUNT),
        kind.fraction("late_worth", 0, 0, MAX_COUNT),
        kind.smallInteger("subjects", 100, 1, MAX_COUNT),
        kind.smallInteger("shared_tokens", 0, 0, MAX_COUNT),
        kind.smallInteger("own_tokens", 0, 0, MAX_COUNT),
        kind.smallInteger("events", 1, 1, MAX_COUNT));
  }

  private static Scenario.Fault fault(TomlReader fault) {
    return new Scenario.Fault(
        fault.oneOf("kind", Scenario.FaultKind.class),
        fault.duration("at", Duration.ZERO, Duration.ZERO, MAX_DURATION),
        duration(fault, "lasting", Duration.ofSeconds(5)),
        fault.fraction("share", 1, 0, 1),
        fault.fraction("factor", 2, 0, 1_000),
        duration(fault, "gap", Duration.ofSeconds(1)));
  }

  private static Duration duration(TomlReader table, String key, Duration defaultValue) {
    return table.duration(key, defaultValue, Duration.ofMillis(1), MAX_DURATION);
  }

  private static Duration millis(TomlReader table, String key, double defaultValue) {
    return Duration.ofNanos(Math.round(table.fraction(key, defaultValue, 0, MAX_COUNT) * 1e6));
  }
}
