package org.teaseldeal.router;

import java.io.IOException;
import java.io.PrintStream;
import java.time.InstantSource;
import java.util.Random;
import java.util.UUID;
import org.teaseldeal.api.IncarnationId;
import org.teaseldeal.cli.ExitStatus;
import org.teaseldeal.cli.log.LogLine;
import org.teaseldeal.core.InstanceConfig;
import org.teaseldeal.core.InstanceCore;
import org.teaseldeal.core.InstanceLimits;
import org.teaseldeal.core.part.InstancePolicies;
import org.teaseldeal.router.instance.CoreInstance;
import org.teaseldeal.router.instance.Instance;
import org.teaseldeal.router.settings.RouterSettings;

/**
 * Runs a router as a process.
 *
 * <p>After SIGTERM or a drain by an operator, the process exits with status 0 once no request is in
 * flight. If the drain timeout passes before or the drain fails, it exits with {@link
 * ExitStatus#INCOMPLETE}.
 */
final class RouterProcess {
  private static final int INCARNATION_SUFFIX_LENGTH = 12;

  private RouterProcess() {}

  /** Starts a router and prints the addresses on which it listens as one line of JSON. */
  static void start(RouterSettings settings, PrintStream out) throws IOException {
    IncarnationId incarnation = newIncarnation(settings);
    // Several threads share this generator, which is thread-safe.
    Random random = new Random();
    InstantSource clock = InstantSource.system();
    Router router =
        Router.start(
            settings,
            incarnation,
            peerAddress -> createInstance(settings, incarnation, peerAddress, clock, random),
            clock,
            random);
    Thread drainHook = new Thread(() -> drainAndHalt(router), "drain");
    Runtime.getRuntime().addShutdownHook(drainHook);
    new Thread(() -> exitWhenStopped(router), "exit").start();
    out.println(router.announcement());
    out.flush();
  }

  /**
   * Exits the process once the router has stopped. The thread that runs this method keeps the
   * process alive, because all other threads are daemons.
   */
  private static void exitWhenStopped(Router router) {
    router.stopped().join();
    System.exit(ExitStatus.OK.code());
  }

  private static Instance createInstance(
      RouterSettings settings,
      IncarnationId incarnation,
      String peerAddress,
      InstantSource clock,
      Random random) {
    InstanceConfig config =
        new InstanceConfig(
            settings.instance(),
            incarnation,
            settings.dataCentre(),
            peerAddress,
            settings.streams(),
            limits(settings));
    return new CoreInstance(config, new InstanceCore(config, policies(settings), clock, random));
  }

  private static InstancePolicies policies(RouterSettings settings) {
    return InstancePolicies.standard()
        .withPlacementPolicy(settings.placement())
        .withQueueRule(settings.queue());
  }

  private static InstanceLimits limits(RouterSettings settings) {
    return InstanceLimits.standard()
        .withDrainTimeout(settings.limits().drainTimeout().dividedBy(2));
  }

  private static IncarnationId newIncarnation(RouterSettings settings) {
    String suffix =
        UUID.randomUUID().toString().replace("-", "").substring(0, INCARNATION_SUFFIX_LENGTH);
    return new IncarnationId(settings.instance().name() + "." + suffix);
  }

  /**
   * Drains the router and halts the process. After SIGTERM the virtual machine would exit with
   * status 143 if it were not halted.
   */
  private static void drainAndHalt(Router router) {
    ExitStatus status = ExitStatus.INCOMPLETE;
    try {
      router.drainAndClose();
      status = router.answersCutOff() ? ExitStatus.INCOMPLETE : ExitStatus.OK;
    } catch (InterruptedException | RuntimeException e) {
      LogLine.of("shutdown failed; halting the process").error(e);
    } finally {
      Runtime.getRuntime().halt(status.code());
    }
  }
}
