package org.teaseldeal.dist;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.Architectures.layeredArchitecture;

import com.tngtech.archunit.core.importer.ImportOption.DoNotIncludeTests;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

/**
 * Checks that each module depends on earlier modules only, that the decision logic uses no network
 * and that only the bench starts processes. Later modules would otherwise leak into the logic that
 * is simulated in virtual time.
 */
@AnalyzeClasses(packages = "org.teaseldeal", importOptions = DoNotIncludeTests.class)
class ModuleOrderTests {
  @ArchTest
  static final ArchRule modulesDependOnEarlierOnesOnly =
      layeredArchitecture()
          .consideringOnlyDependenciesInLayers()
          .withOptionalLayers(true)
          .layer("api")
          .definedBy("org.teaseldeal.api..")
          .layer("wire")
          .definedBy("org.teaseldeal.wire..")
          .layer("settings")
          .definedBy("org.teaseldeal.settings..")
          .layer("ledger")
          .definedBy("org.teaseldeal.ledger..")
          .layer("decisions")
          .definedBy("org.teaseldeal.decisions..")
          .layer("core")
          .definedBy("org.teaseldeal.core..")
          .layer("net")
          .definedBy("org.teaseldeal.net..")
          .layer("metrics")
          .definedBy("org.teaseldeal.metrics..")
          .layer("gateway")
          .definedBy("org.teaseldeal.gateway..")
          .layer("platform")
          .definedBy("org.teaseldeal.platform..")
          .layer("cli")
          .definedBy("org.teaseldeal.cli..")
          .layer("model")
          .definedBy("org.teaseldeal.model..")
          .layer("router")
          .definedBy("org.teaseldeal.router..")
          .layer("operator")
          .definedBy("org.teaseldeal.operator..")
          .layer("standin")
          .definedBy("org.teaseldeal.standin..")
          .layer("bench")
          .definedBy("org.teaseldeal.bench..")
          .whereLayer("platform")
          .mayNotBeAccessedByAnyLayer()
          .whereLayer("gateway")
          .mayOnlyBeAccessedByLayers("platform", "model")
          .whereLayer("model")
          .mayNotBeAccessedByAnyLayer()
          .whereLayer("router")
          .mayNotBeAccessedByAnyLayer()
          .whereLayer("operator")
          .mayNotBeAccessedByAnyLayer()
          .whereLayer("standin")
          .mayNotBeAccessedByAnyLayer()
          .whereLayer("bench")
          .mayNotBeAccessedByAnyLayer()
          .whereLayer("core")
          .mayOnlyBeAccessedByLayers("router", "bench")
          .whereLayer("decisions")
          .mayOnlyBeAccessedByLayers("core", "gateway", "model", "bench")
          .whereLayer("net")
          .mayOnlyBeAccessedByLayers(
              "gateway", "platform", "model", "router", "operator", "standin", "bench")
          .whereLayer("metrics")
          .mayOnlyBeAccessedByLayers("platform", "router")
          .whereLayer("cli")
          .mayOnlyBeAccessedByLayers("model", "router", "operator", "standin", "bench")
          .whereLayer("ledger")
          .mayOnlyBeAccessedByLayers("core", "router", "operator", "bench")
          .whereLayer("settings")
          .mayOnlyBeAccessedByLayers(
              "ledger", "core", "platform", "model", "router", "operator", "standin", "bench")
          .whereLayer("wire")
          .mayOnlyBeAccessedByLayers("ledger", "core", "router", "bench");

  @ArchTest
  static final ArchRule decisionLogicHasNoNetwork =
      noClasses()
          .that()
          .resideInAnyPackage(
              "org.teaseldeal.api..",
              "org.teaseldeal.settings..",
              "org.teaseldeal.ledger..",
              "org.teaseldeal.decisions..",
              "org.teaseldeal.core..")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage("io.netty..", "java.net..", "org.teaseldeal.net..");

  @ArchTest
  static final ArchRule noClassStartsAProcess =
      noClasses()
          .that()
          .resideOutsideOfPackage("org.teaseldeal.bench..")
          .should()
          .dependOnClassesThat()
          .belongToAnyOf(ProcessBuilder.class, Process.class);
}
