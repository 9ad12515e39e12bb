package org.teaseldeal.operator.command;

import java.time.Duration;
import java.time.InstantSource;
import java.util.Map;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.teaseldeal.net.HttpClient;
import org.teaseldeal.operator.fleet.AdminClient;
import org.teaseldeal.operator.fleet.HttpFetcher;
import org.teaseldeal.operator.fleet.PlatformList;
import org.teaseldeal.operator.session.LedgerSessions;

/**
 * The environment in which commands run.
 *
 * @param random the source of operation ids and writer ids; its values must not repeat from run to
 *     run
 * @param notice receives lines for people that must be printed at once, because they are needed
 *     even if the command never ends
 */
public record CommandContext(
    Map<String, String> environment,
    InstantSource clock,
    RandomGenerator random,
    HttpClient http,
    Consumer<String> notice) {
  public CommandContext {
    environment = Map.copyOf(environment);
  }

  LedgerSessions ledgers(PlatformOptions platform) {
    return LedgerSessions.open(
        http,
        platform.address(environment),
        platform.partitioning(),
        platform.timeout(),
        clock,
        random);
  }

  PlatformList platformList(PlatformOptions platform) {
    return new PlatformList(
        new HttpFetcher(http), platform.address(environment), platform.timeout());
  }

  AdminClient adminClient(AdminOptions admin, Duration timeout) {
    return new AdminClient(new HttpFetcher(http), admin.token(environment), timeout);
  }
}
