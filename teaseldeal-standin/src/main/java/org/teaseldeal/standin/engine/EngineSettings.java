package org.teaseldeal.standin.engine;

import java.time.Duration;
import org.teaseldeal.settings.toml.TomlReader;
import org.teaseldeal.standin.settings.ListenSettings;
import org.teaseldeal.standin.settings.RegistrationSettings;

/**
 * The settings of an engine stand-in.
 *
 * <p>The defaults describe a small engine that generates about 50 tokens per second for each of up
 * to 32 concurrent requests.
 *
 * @param loadLag the age of the load that the engine reports
 * @param checksFencing whether the engine rejects orders with an outdated fencing token
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
  private static final Duration MAX_LAG = Duration.ofMinutes(10);

  /** Reads the settings from a file's root table. */
  public static EngineSettings read(TomlReader root) {
    return new EngineSettings(
        ListenSettings.read(root),
        RegistrationSettings.read(root.table("registration"), "models"),
        Batch.read(root.table("batch")),
        Cache.read(root.table("cache")),
        Answers.read(root.table("answers")),
        root.duration("load_lag", Duration.ofMillis(200), Duration.ZERO, MAX_LAG),
        root.bool("checks_fencing", true),
        EngineFaults.read(root.table("faults"), EngineFaults.NONE));
  }

  /**
   * The settings of continuous batching.
   *
   * @param maxRunning the maximum number of requests that get a token in each iteration
   * @param maxWaiting the maximum number of waiting requests; further ones are answered with 429
   * @param iterationMicros the basic duration of an iteration in microseconds
   * @param perRequestMicros the time that each running request adds to an iteration, in
   *     microseconds
   * @param prefillTokenMicros the time that each uncached prompt token adds to the request's first
   *     iteration, in microseconds
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
   * The settings of the prefix cache.
   *
   * @param blocks the capacity in blocks
   * @param blockTokens the number of tokens per block
   * @param eventLag the time after which an event can be read
   * @param eventLossShare the share of events that are lost
   */
  public record Cache(int blocks, int blockTokens, Duration eventLag, double eventLossShare) {
    static Cache read(TomlReader table) {
      return new Cache(
          table.intInRange("blocks", 4_096, 1, 10_000_000),
          table.intInRange("block_tokens", 16, 1, 4_096),
          table.duration("event_lag", Duration.ofMillis(200), Duration.ZERO, MAX_LAG),
          table.doubleInRange("event_loss_share", 0.01, 0, 1));
    }
  }

  /**
   * The settings of answers.
   *
   * @param minTokens the minimum length of an answer whose length the request doesn't state
   * @param maxTokens the maximum length of such an answer
   * @param retention how long the answer and usage of an ended request can be read
   */
  public record Answers(int minTokens, int maxTokens, Duration retention) {
    private static final int MAX_ANSWER_TOKENS = 1_000_000;

    static Answers read(TomlReader table) {
      int minTokens = table.intInRange("min_tokens", 8, 1, MAX_ANSWER_TOKENS);
      return new Answers(
          minTokens,
          table.intInRange("max_tokens", Math.max(64, minTokens), minTokens, MAX_ANSWER_TOKENS),
          table.duration("keep_for", Duration.ofMinutes(10), Duration.ZERO, Duration.ofDays(1)));
    }
  }
}
