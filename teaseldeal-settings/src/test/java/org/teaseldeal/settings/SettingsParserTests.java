package org.teaseldeal.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Collectors;
import org.approvaltests.Approvals;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.teaseldeal.settings.SettingsParser.Parsed;

class SettingsParserTests {
  private static final SubtreeId AUCTION = new SubtreeId("team/auction");
  private static final String SHA256 = "ab".repeat(32);

  @Nested
  class ValidText {
    @Test
    void usesDefaultsForEmptyFleet() {
      FleetSettings fleet = valid(SettingsParser.parseFleet(""));

      assertEquals(Duration.ofMinutes(10), fleet.lease().horizon());
      assertEquals(Duration.ofDays(1), fleet.claimWindow());
      assertTrue(fleet.pools().isEmpty());
    }

    @Test
    void readsEngineSettingsOfPools() {
      FleetSettings fleet =
          valid(
              SettingsParser.parseFleet(
                  """
                  [pools.language]
                  kind = "model"
                  models = ["clerk-8b@3", "org/small@2026-11"]
                  adapters = ["wool@7"]
                  role = "decode"
                  [pools.other]
                  kind = "model"
                  """));

      PoolSettings language = Objects.requireNonNull(fleet.pools().get("language"));
      assertEquals(Map.of("clerk-8b", "3", "org/small", "2026-11"), language.models());
      assertEquals(Map.of("wool", "7"), language.adapters());
      assertEquals(Optional.of("decode"), language.role());
      assertTrue(language.configuresEngines());
      assertFalse(Objects.requireNonNull(fleet.pools().get("other")).configuresEngines());
    }

    @Test
    void readsServicesAndCustomersOfTeam() {
      TeamSettings team =
          valid(
              SettingsParser.parseTeam(
                  AUCTION,
                  """
                  [services.drafts]
                  kind = "model"
                  pool = "language"
                  max_output_tokens = 400
                  [services.bids]
                  kind = "plain"
                  pool = "bidding"
                  idempotent = false
                  tokens_per_call = 1
                  priority = "interactive"
                  timeout = "2s"
                  [customers.mill]
                  token_sha256 = "%s"
                  services = ["bids"]
                  """
                      .formatted(SHA256)));

      ServiceSettings bids = Objects.requireNonNull(team.services().get("bids"));
      assertEquals(PriorityClass.INTERACTIVE, bids.priority());
      assertEquals(Duration.ofSeconds(2), bids.timeout());
      assertFalse(bids.idempotent());
      ServiceSettings drafts = Objects.requireNonNull(team.services().get("drafts"));
      assertTrue(drafts.idempotent());
      assertEquals("drafts", drafts.model());
      CustomerSettings mill = Objects.requireNonNull(team.customers().get("mill"));
      assertEquals(Set.of("bids"), mill.services());
    }
  }

  @Nested
  class Messages {
    @Test
    void listAllProblemsOfFleetInLineOrder() {
      approve(
          SettingsParser.parseFleet(
              """
              horizon = "10m"
              pools.language.kind = "modell"
              pools.flat = 3
              [pools.bidding]
              kind = "plain"
              max_concurrent_per_server = 0
              checks_fencing = "yes"
              [pools."Big Pool"]
              kind = "plain"
              [lease]
              horizon = 600
              max_share = 1.5
              minimum_tokens = 1e3
              idle_return = "2 minutes"
              [requests]
              progress_timeout = "0ms"
              max_retry_share = nan
              retries = 3
              [claims]
              window = "24h"
              key_memory = "1h"
              """));
    }

    @Test
    void listAllProblemsOfEngineSettings() {
      approve(
          SettingsParser.parseFleet(
              """
              [pools.language]
              kind = "model"
              models = ["clerk-8b", "a@1", "a@2"]
              adapters = "wool@7"
              role = "De code"
              [pools.bidding]
              kind = "plain"
              models = ["a@1"]
              role = "decode"
              """));
    }

    @Test
    void listAllProblemsOfTeamInLineOrder() {
      approve(
          SettingsParser.parseTeam(
              AUCTION,
              """
              [customers.mill]
              token_sha256 = "my-secret-token"
              services = ["bids", "holds", 7]
              weight = 1_001
              [customers.broker]
              token_sha256 = "%1$s"
              services = "bids"
              [customers.exporter]
              token_sha256 = "%1$s"
              [services.drafts]
              kind = "model"
              pool = "language"
              tokens_per_call = 3
              [services.bids]
              kind = "plain"
              pool = "Bidding"
              max_output_tokens = 10
              priority = "urgent"
              timeout = 2026-12-02
              """
                  .formatted(SHA256)));
    }

    @Test
    void giveLineOfSyntaxError() {
      approve(SettingsParser.parseFleet("[lease]\nhorizon = \n[lease\n"));
    }

    @Test
    void nameDuplicateTable() {
      approve(SettingsParser.parseFleet("[lease]\nhorizon = \"1m\"\n[lease]\n"));
    }

    @Test
    void rejectTextNestedTooDeeply() {
      approve(SettingsParser.parseFleet("\na = " + "[".repeat(50_000)));
    }

    @Test
    void rejectKeysWithTooManyParts() {
      approve(SettingsParser.parseFleet("a" + ".a".repeat(30_000) + " = 1"));
    }

    @Test
    void rejectTextThatIsTooLong() {
      approve(SettingsParser.parseFleet("#".repeat(65_537)));
    }
  }

  @Test
  void limitsNumberOfProblems() {
    Parsed<FleetSettings> parsed = SettingsParser.parseFleet("[a]\n".repeat(10_000));

    assertEquals(100, ((Parsed.Invalid<FleetSettings>) parsed).problems().size());
  }

  // A parser that recursed once per element would overflow the stack on some threads only, and two
  // readers of one record would then disagree on the settings in force.
  @ParameterizedTest
  @ValueSource(
      strings = {
        "a = 1\n",
        "[[a]]\n",
        "a = [1, 2\n",
        "= [ { ] }\n",
        "'''",
        "x,",
        "[a]\n",
        "\"a\","
      })
  void givesSameResultOnSmallStack(String fragment) throws InterruptedException {
    AtomicReference<@Nullable Object> smallStackResult = new AtomicReference<>();
    String toml = "a = [" + fragment.repeat(20_000 / fragment.length());
    Thread smallStack =
        new Thread(
            null,
            () -> smallStackResult.set(SettingsParser.parseFleet(toml)),
            "small stack",
            256 << 10);
    smallStack.start();
    smallStack.join();

    assertEquals(SettingsParser.parseFleet(toml), smallStackResult.get());
  }

  @Test
  void neverQuotesTokenGivenInPlaceOfItsHash() {
    Parsed<TeamSettings> parsed =
        SettingsParser.parseTeam(AUCTION, "[customers.mill]\ntoken_sha256 = \"my-secret-token\"\n");

    assertFalse(parsed.toString().contains("my-secret"), parsed.toString());
  }

  private static <T> T valid(Parsed<T> parsed) {
    assertInstanceOf(Parsed.Valid.class, parsed, parsed::toString);
    return ((Parsed.Valid<T>) parsed).settings();
  }

  private static void approve(Parsed<?> parsed) {
    List<SettingsProblem> problems = ((Parsed.Invalid<?>) parsed).problems();
    Approvals.verify(
        problems.stream().map(SettingsProblem::toString).collect(Collectors.joining("\n")));
  }
}
