package org.teaseldeal.bench.scenario;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.teaseldeal.api.CustomerId;
import org.teaseldeal.api.ServiceId;
import org.teaseldeal.settings.SettingsParser.Parsed;
import org.teaseldeal.settings.toml.TomlDocument;
import org.teaseldeal.settings.toml.TomlReader;

/** Parses scenarios from TOML. All problems of a text are reported at once. */
public final class ScenarioParser {
  private static final Duration MILLISECOND = Duration.ofMillis(1);
  private static final Duration MINUTE = Duration.ofMinutes(1);
  private static final double MAX_RATE = 100_000;

  private ScenarioParser() {}

  /** Parses a scenario. */
  public static Parsed<Scenario> parse(String toml) {
    return TomlDocument.read(toml, ScenarioParser::read);
  }

  private static Scenario read(TomlReader root) {
    List<Flow> flows = new ArrayList<>();
    root.tables("flows").forEach((name, flow) -> flows.add(readFlow(name, flow)));
    Set<String> names = new HashSet<>();
    flows.forEach(flow -> names.add(flow.name()));
    List<Phase> phases = new ArrayList<>();
    root.tables("phases").values().forEach(phase -> phases.add(readPhase(phase, names)));
    List<FaultChange> faults = new ArrayList<>();
    root.tables("faults").values().forEach(fault -> faults.add(readFault(fault)));
    return new Scenario(
        root.name("name"),
        root.text("title"),
        root.longInRange("seed", 1, 0, Long.MAX_VALUE),
        root.duration(
            "duration", Duration.ofSeconds(30), Duration.ofSeconds(1), Scenario.MAX_DURATION),
        flows,
        phases,
        faults);
  }

  private static Flow readFlow(String name, TomlReader flow) {
    Flow.Kind kind = flow.enumConstant("kind", Flow.Kind.MODEL);
    String team = flow.name("team");
    String customer = flow.name("customer");
    return new Flow(
        name,
        kind,
        ServiceId.of(team, flow.name("service")),
        CustomerId.parse(team + "/" + customer),
        flow.text("token", "example-" + customer),
        flow.doubleInRange("per_second", 1, 0.001, MAX_RATE),
        flow.intInRange("prefix_words", 0, 0, 100_000),
        flow.intInRange("prompt_words", 20, 0, 100_000),
        flow.intInRange("output_tokens", 20, 1, 100_000),
        flow.duration("timeout", Duration.ofSeconds(10), MILLISECOND, MINUTE.multipliedBy(30)),
        flow.bool("keyed", false),
        flow.bool("stream", kind == Flow.Kind.MODEL));
  }

  private static Phase readPhase(TomlReader phase, Set<String> flows) {
    Duration from = phase.duration("from", Duration.ZERO, Duration.ZERO, Scenario.MAX_DURATION);
    Duration to = phase.duration("to", Scenario.MAX_DURATION, Duration.ZERO, Scenario.MAX_DURATION);
    if (to.compareTo(from) <= 0) {
      phase.addProblem("to", "was not after from, expected a later time");
      to = from.plusSeconds(1);
    }
    List<String> named = phase.textList("flows");
    named.stream()
        .filter(name -> !flows.contains(name))
        .forEach(
            name ->
                phase.addProblem("flows", "names '%s', expected one of the flows".formatted(name)));
    return new Phase(from, to, phase.doubleInRange("factor", 1, 0, 1_000), Set.copyOf(named));
  }

  private static FaultChange readFault(TomlReader fault) {
    return new FaultChange(
        fault.duration("at", Duration.ZERO, Duration.ZERO, Scenario.MAX_DURATION),
        fault.name("target"),
        fault.text("set"));
  }
}
