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
        root.intInRange("instances", 9, 1, 1_000),
        root.intInRange("data_centres", 3, 1, 100),
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
        table.intInRange("count", 10, 1, MAX_COUNT),
        table.longInRange("prepaid", 1_000_000, 0, Long.MAX_VALUE),
        table.doubleInRange("skew", 1, 0, 3));
  }

  private static Scenario.Log log(TomlReader table) {
    return new Scenario.Log(
        millis(table, "append_ms", 2),
        millis(table, "answer_ms", 4),
        duration(table, "history", Duration.ofSeconds(20)));
  }

  private static Scenario.Links links(TomlReader table) {
    return new Scenario.Links(
        table.doubleInRange("rate_mbit", 14, 0.1, 100_000),
        millis(table, "delay_ms", 0.5),
        table.doubleInRange("loss", 0, 0, 1));
  }

  private static Scenario.Engines engines(TomlReader table) {
    return new Scenario.Engines(
        table.intInRange("count", 8, 1, 10_000),
        table.intInRange("places", 16, 1, 1_000),
        millis(table, "step_ms", 3.88),
        millis(table, "step_per_place_ms", 0.028),
        table.doubleInRange("prompt_tokens_per_milli", 66, 0.1, 100_000),
        table.intInRange("chunk", 2_048, 1, MAX_COUNT),
        table.longInRange("cache_tokens", 300_000, 0, Long.MAX_VALUE),
        table.intInRange("tokens_per_event", 4, 1, 1_000),
        table.intInRange("versions", 1, 1, 100),
        new Scenario.Speeds(
            table.doubleInRange("lowest_speed", 1, 0.01, 100),
            table.doubleInRange("highest_speed", 1, 0.01, 100)),
        table.longInRange("memory_tokens", Long.MAX_VALUE, 1, Long.MAX_VALUE));
  }

  private static Scenario.Services services(TomlReader table) {
    return new Scenario.Services(
        table.intInRange("count", 3, 1, 10_000),
        table.intInRange("places", 6, 1, 1_000),
        table.intInRange("queue", 24, 0, 10_000),
        millis(table, "work_ms", 43));
  }

  private static Scenario.Kind kind(String name, TomlReader kind) {
    return new Scenario.Kind(
        name,
        kind.enumConstant("answer", Scenario.Answer.STREAM),
        kind.doubleInRange("per_second", 1, 0.001, MAX_COUNT),
        duration(kind, "aim", Duration.ofMillis(400)),
        duration(kind, "pause_aim", Duration.ofMillis(300)),
        duration(kind, "deadline", Duration.ofSeconds(10)),
        kind.doubleInRange("worth", 1, 0, MAX_COUNT),
        kind.doubleInRange("late_worth", 0, 0, MAX_COUNT),
        kind.intInRange("subjects", 100, 1, MAX_COUNT),
        kind.intInRange("shared_tokens", 0, 0, MAX_COUNT),
        kind.intInRange("own_tokens", 0, 0, MAX_COUNT),
        kind.intInRange("events", 1, 1, MAX_COUNT),
        kind.bool("resumable", false));
  }

  private static Scenario.Fault fault(TomlReader fault) {
    return new Scenario.Fault(
        fault.enumConstant("kind", Scenario.FaultKind.class),
        fault.duration("at", Duration.ZERO, Duration.ZERO, MAX_DURATION),
        duration(fault, "lasting", Duration.ofSeconds(5)),
        fault.doubleInRange("share", 1, 0, 1),
        fault.doubleInRange("factor", 2, 0, 1_000),
        duration(fault, "gap", Duration.ofSeconds(1)),
        fault.enumConstant("position", Scenario.PartPosition.MIDDLE),
        fault.intInRange("events_before_crash", 0, 0, 1_000));
  }

  private static Duration duration(TomlReader table, String key, Duration defaultValue) {
    return table.duration(key, defaultValue, Duration.ofMillis(1), MAX_DURATION);
  }

  private static Duration millis(TomlReader table, String key, double defaultValue) {
    return Duration.ofNanos(Math.round(table.doubleInRange(key, defaultValue, 0, MAX_COUNT) * 1e6));
  }
}
