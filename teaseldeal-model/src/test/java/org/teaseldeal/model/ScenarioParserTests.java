package org.teaseldeal.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.teaseldeal.settings.SettingsParser.Parsed;

class ScenarioParserTests {
  private static final String MINIMAL_SCENARIO =
      """
      name = "quiet"
      title = "A quiet load"

      [kinds.draft]
      answer = "stream"
      """;

  @Test
  void usesDefaultsForAbsentKeys() {
    Parsed.Valid<Scenario> valid =
        assertInstanceOf(Parsed.Valid.class, ScenarioParser.parse(MINIMAL_SCENARIO));
    assertEquals(9, valid.settings().instances());
  }

  /** Guards against wrong keys or values that are ignored, so that another scenario is run. */
  @ParameterizedTest
  @CsvSource({
    "instances = 0, instances",
    "colour = 1, colour",
    "duration = \"soon\", duration",
    "links.loss = 2.0, loss",
    "faults.one.kind = \"rain\", kind"
  })
  void reportsFieldAndLineOfAProblem(String line, String field) {
    Parsed.Invalid<Scenario> invalid =
        assertInstanceOf(
            Parsed.Invalid.class, ScenarioParser.parse(line + "\n" + MINIMAL_SCENARIO));
    String problem = String.valueOf(invalid.problems().getFirst());
    assertTrue(problem.contains(field), problem);
    assertEquals(1, invalid.problems().getFirst().line(), problem);
  }
}
