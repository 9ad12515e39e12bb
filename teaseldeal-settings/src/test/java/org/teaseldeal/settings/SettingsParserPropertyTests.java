package org.teaseldeal.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

class SettingsParserPropertyTests {
  private static final SubtreeId AUCTION = new SubtreeId("team/auction");

  @Property(tries = 2_000, seed = "4711")
  void neverThrowsOnArbitraryText(@ForAll String text) {
    SettingsParser.parseFleet(text);
    SettingsParser.parseTeam(AUCTION, text);
  }

  // Texts composed of TOML fragments pass the lexer; random characters hardly ever do.
  @Property(tries = 2_000, seed = "4711")
  void givesSameResultTwiceOnTomlFragments(@ForAll("tomlFragments") String text) {
    assertEquals(SettingsParser.parseFleet(text), SettingsParser.parseFleet(text));
    assertEquals(SettingsParser.parseTeam(AUCTION, text), SettingsParser.parseTeam(AUCTION, text));
  }

  @Provide
  Arbitrary<String> tomlFragments() {
    return Arbitraries.of(
            "[pools.a]\n",
            "[services.b]\n",
            "[customers.c]\n",
            "[lease]\n",
            "[[pools]]\n",
            "[claims]\n",
            "pools",
            "services",
            "kind",
            "pool",
            "timeout",
            "weight",
            "window",
            "token_sha256",
            "horizon",
            "max_share",
            "idempotent",
            "key_memory",
            ".",
            " = ",
            "\n",
            "{",
            "}",
            "[",
            "]",
            ",",
            "\"",
            "\"\"\"",
            "'",
            "\"model\"",
            "\"plain\"",
            "\"4s\"",
            "\"\"",
            "\"\\u0000\"",
            "\"\\ud800\"",
            "1",
            "-1",
            "9223372036854775808",
            "1e400",
            "nan",
            "inf",
            "0x",
            "1979-05-27T07:32:00Z",
            "2026-02-30",
            "25:61:00",
            "true",
            "#")
        .list()
        .ofMaxSize(40)
        .map(fragments -> String.join("", fragments));
  }
}
