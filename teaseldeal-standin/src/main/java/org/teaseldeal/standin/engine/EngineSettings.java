package org.teaseldeal.standin.engine;

import java.time.Duration;
import org.teaseldeal.settings.toml.TomlReader;
import org.teaseldeal.standin.settings.ListenSettings;
import org.teaseldeal.standin.settings.RegistrationSettings;

/**
 * Settings of an engine stand-in.
 *
 * <p>Where a file says nothing: a small engine at about 50 tokens a second for each of up to 32
 * requests.
 */
public record EngineSettings(
    ListenSettings listen,
    RegistrationSettings registration,
    Batch batch,
    Cache cache,
    Answers answers,
    Duration loadLag,
    boolean checksFencing,
    EngineFaults faults) {
  private static final Duration LONGEST_LAG = Duration.ofMinutes(10);

  /** Reads a file's root table. */
  public static EngineSettings read(TomlReader root) {
    return new EngineSettings(
        ListenSettings.read(root),
        RegistrationSettings.read(root.table("registration"), "models"),
        Batch.read(root.table("batch")),
        Cache.read(root.table("cache")),
        Answers.read(root.table("answers")),
        root.duration("load_lag", Duration.ofMillis(200), Duration.ZERO, LONGEST_LAG),
        root.bool("checks_fencing", true),
        EngineFaults.read(root.table("faults"), EngineFaults.NONE));
  }

  /**
   * How requests share iterations.
   *
   * @param maxRunning requests that make a token in each iteration
   * @param maxWaiting further requests that are taken; beyond them, 429
   * @param iterationMicros what an iteration takes with nothing in it
   * @param perRequestMicros what each running request adds to an iteration
   * @param prefillTokenMicros what each prompt token that isn't cached adds to the first one
   */
  public record Batch(
      int maxRunning,
      int maxWaiting,
      long iterationMicros,
      long perRequestMicros,
      long prefillTokenMicros) {
    private static final long MAX_MICROS = 60_000_000;

    static Batch read(TomlReader table) {
      return new Batch(
          table.intInRange("max_running", 32, 1, 100_000),
          table.intInRange("max_waiting", 256, 0, 1_000_000),
          table.longInRange("iteration_micros", 15_000, 0, MAX_MICROS),
          table.longInRange("per_request_micros", 150, 0, MAX_MICROS),
          table.longInRange("prefill_token_micros", 100, 0, MAX_MICROS));
    }
  }

  /**
   * The prefix cache.
   *
   * @param blocks how many fit into memory
   * @param blockTokens tokens of a block
   * @param eventLag how late its events are
   * @param eventLossShare the share of its events that are lost
   */
  public record Cache(int blocks, int blockTokens, Duration eventLag, double eventLossShare) {
    static Cache read(TomlReader table) {
      return new Cache(
          table.intInRange("blocks", 4_096, 1, 10_000_000),
          table.intInRange("block_tokens", 16, 1, 4_096),
          table.duration("event_lag", Duration.ofMillis(200), Duration.ZERO, LONGEST_LAG),
          table.doubleInRange("event_loss_share", 0.01, 0, 1));
    }
  }

  /**
   * Answers.
   *
   * @param minTokens the shortest answer where the request says nothing
   * @param maxTokens the longest
   * @param keepFor how long a finished request can be attached to and asked for
   */
  public record Answers(int minTokens, int maxTokens, Duration keepFor) {
    private static final int LONGEST = 1_000_000;

    static Answers read(TomlReader table) {
      int minTokens = table.intInRange("min_tokens", 8, 1, LONGEST);
      return new Answers(
          minTokens,
          table.intInRange("max_tokens", Math.max(64, minTokens), minTokens, LONGEST),
          table.duration("keep_for", Duration.ofMinutes(10), Duration.ZERO, Duration.ofDays(1)));
    }
  }
}
