package org.teaseldeal.decisions;

import com.dynatrace.hash4j.hashing.Hashing;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.teaseldeal.api.BackendServerId;
import org.teaseldeal.api.Preconditions;

/**
 * Chooses the engine of a prompt so that prompts with the same beginning meet where it is cached.
 *
 * <p>Load pattern: many subjects, each with a long beginning that its prompts share, over engines
 * whose caches hold a part of them. Spread at random, each beginning is read again at every engine,
 * and the caches hold many copies of few. So each beginning has a home, the first engine by
 * rendezvous hash, which all instances work out alike without a message.
 *
 * <p>Load pattern: one subject takes a third of the requests, or a prompt of fifty thousand tokens
 * keeps an engine busy for a second. The home then makes callers wait while others idle. So the
 * home is passed over as soon as the first token is expected there later than a part of the time in
 * which it is on time; the next homes by the same hash are tried first, so that a hot subject is
 * cached at just as many engines as it needs.
 */
public final class PromptPlacement {
  /**
   * An engine.
   *
   * @param running requests that it is thought to have
   * @param promptTokensAhead of requests sent there whose answer hasn't begun
   * @param slowness its time to answer relative to the others'
   */
  public record Candidate(
      BackendServerId id, int running, long promptTokensAhead, double slowness) {
    public Candidate {
      Preconditions.requireNotNegative(running, "running");
      Preconditions.requireNotNegative(promptTokensAhead, "prompt tokens ahead");
    }

    /** The wait for the first token of a prompt of which {@code tokens} aren't cached. */
    private double expectedMillis(long tokens) {
      double reading = (promptTokensAhead + tokens) / TOKENS_PER_MILLI;
      return (reading + running * MILLIS_PER_RUNNING) * slowness;
    }
  }

  /**
   * A prompt to place.
   *
   * @param beginning names what it shares with others; empty if nothing
   * @param sharedTokens in the beginning
   * @param tokens in all
   * @param aim until when the first token is on time
   */
  public record Prompt(String beginning, long sharedTokens, long tokens, Duration aim) {
    public Prompt {
      Preconditions.require(
          sharedTokens <= tokens,
          "shared tokens were %d, expected at most %d".formatted(sharedTokens, tokens));
    }
  }

  /** Prompt tokens that an engine reads in a millisecond, from the sheets of those in use. */
  private static final double TOKENS_PER_MILLI = 60;

  /** What each running request adds to the wait: its step's part of the time between chunks. */
  private static final double MILLIS_PER_RUNNING = 0.5;

  /**
   * The part of the aim that the first token may be expected after at a home. The whole of it: a
   * beginning that is read again elsewhere costs its engine as much time as the wait saves, and
   * with half of it the engines read a third more of what others had cached.
   */
  private static final double HOME_PATIENCE = 1.0;

  /** Homes of a beginning that are tried in turn before any engine will do. */
  private static final int HOMES = 3;

  private PromptPlacement() {}

  /** Chooses among {@code engines}; none only if there are none. */
  public static Optional<BackendServerId> choose(
      List<Candidate> engines, Prompt prompt, RandomGenerator random) {
    if (!prompt.beginning().isEmpty()) {
      long uncached = prompt.tokens() - prompt.sharedTokens();
      double patience = prompt.aim().toMillis() * HOME_PATIENCE;
      Optional<Candidate> home =
          engines.stream()
              .sorted(Comparator.comparingLong(engine -> score(engine, prompt.beginning())))
              .limit(HOMES)
              .filter(engine -> engine.expectedMillis(uncached) <= patience)
              .findFirst();
      if (home.isPresent()) {
        return home.map(Candidate::id);
      }
    }
    return soonest(engines, prompt.tokens(), random);
  }

  /** The engine that is expected to answer first; of equal ones, any. */
  private static Optional<BackendServerId> soonest(
      List<Candidate> engines, long tokens, RandomGenerator random) {
    Candidate best = null;
    double bestMillis = Double.MAX_VALUE;
    int first = engines.isEmpty() ? 0 : random.nextInt(engines.size());
    for (int i = 0; i < engines.size(); i++) {
      Candidate engine = engines.get((first + i) % engines.size());
      double millis = engine.expectedMillis(tokens);
      if (millis < bestMillis) {
        best = engine;
        bestMillis = millis;
      }
    }
    return Optional.ofNullable(best).map(Candidate::id);
  }

  private static long score(Candidate engine, String beginning) {
    return Hashing.komihash5_0().hashCharsToLong(engine.id().name() + '\n' + beginning);
  }
}
