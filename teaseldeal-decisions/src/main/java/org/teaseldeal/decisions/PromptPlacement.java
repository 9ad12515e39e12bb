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
 * Chooses the engine of a prompt so that prompts with a common prefix are sent to an engine that
 * has the prefix cached.
 *
 * <p>There may be many subjects, each with a long prefix that its prompts share, and engines whose
 * caches hold only some of these prefixes. If prompts were spread at random, every engine would
 * process every prefix again, and the caches would hold many copies of few prefixes. Therefore a
 * prompt goes to an engine that has its prefix cached, or otherwise to the home of the prefix: the
 * first engine by rendezvous hashing, which all instances compute alike.
 *
 * <p>After a start or a crash of engines all caches are empty, and each prompt has to be processed
 * in full. The hash alone would give some engines twice the work of others. Therefore a prefix that
 * is cached nowhere moves from its home to the next one if the home is busier than the least busy
 * engine by more than the prompt's own processing time, counting all prompt tokens still to be
 * processed there.
 *
 * <p>One subject may account for a third of the requests, or a prompt of 50 000 tokens may keep an
 * engine busy for a second. At the engine with the cached prefix callers would wait while other
 * engines are idle. Therefore an engine is skipped as soon as its first token is expected later
 * than the target time; the prefix of a hot subject is then cached at only as many engines as its
 * load requires.
 */
public final class PromptPlacement {
  /**
   * An engine, with the cost of the prompt at this engine.
   *
   * @param id the engine
   * @param running estimated number of requests running at the engine
   * @param promptTokensAhead prompt tokens of requests sent there whose answer has not begun
   * @param uncachedTokens tokens of the prompt that the engine would have to process
   * @param holdsPrefix whether the prompt's whole shared prefix is assumed to be cached there
   * @param slowness the engine's answer time relative to the other engines'
   */
  public record Candidate(
      BackendServerId id,
      int running,
      long promptTokensAhead,
      long uncachedTokens,
      boolean holdsPrefix,
      double slowness) {
    public Candidate {
      Preconditions.requireNotNegative(running, "running");
      Preconditions.requireNotNegative(promptTokensAhead, "prompt tokens ahead");
      Preconditions.requireNotNegative(uncachedTokens, "uncached tokens");
    }

    /** Returns the expected time to the prompt's first token. */
    private double expectedMillis() {
      double reading = (promptTokensAhead + uncachedTokens) / TOKENS_PER_MS;
      return (reading + running * MS_PER_RUNNING_REQUEST) * slowness;
    }

    private double ownPrefillMillis() {
      return uncachedTokens / TOKENS_PER_MS * slowness;
    }
  }

  /**
   * A prompt to place.
   *
   * @param prefix identifies the prefix that the prompt shares with others; empty if it shares none
   * @param targetTime time within which the first token counts as on time
   */
  public record Prompt(String prefix, Duration targetTime) {}

  /**
   * Prompt tokens that an engine processes per millisecond, according to the data sheets of the
   * engines in use.
   */
  private static final double TOKENS_PER_MS = 60;

  /**
   * Milliseconds that each running request adds to the wait: its part of the time between two
   * chunks.
   */
  private static final double MS_PER_RUNNING_REQUEST = 0.5;

  /**
   * Fraction of the target time up to which an engine that has the prefix cached is kept. It is the
   * whole target time, because processing the prefix again elsewhere costs that engine as much time
   * as it saves the caller.
   */
  private static final double CACHED_TARGET_FRACTION = 1.0;

  /** Number of homes of a prefix that are tried in order before any other engine is used. */
  private static final int HOMES_TRIED = 3;

  /**
   * How much busier than the least busy engine a home may be, in multiples of the prompt's own
   * processing time. An instance that has just started does not know what is cached, and the home
   * may save all of that time.
   */
  private static final double HOME_LOAD_TOLERANCE = 1.0;

  /** An engine with its rank among the homes of a prefix; the lowest score is the first home. */
  private record Home(Candidate engine, long score) {}

  private PromptPlacement() {}

  /** Chooses one of {@code engines}; empty only if there are none. */
  public static Optional<BackendServerId> choose(
      List<Candidate> engines, Prompt prompt, RandomGenerator random) {
    Optional<Candidate> soonest = soonest(engines, random);
    if (prompt.prefix().isEmpty() || soonest.isEmpty()) {
      return soonest.map(Candidate::id);
    }
    double soonestMillis = soonest.get().expectedMillis();
    double keepMillis =
        Math.max(soonestMillis, prompt.targetTime().toMillis() * CACHED_TARGET_FRACTION);
    List<Candidate> holders = engines.stream().filter(Candidate::holdsPrefix).toList();
    return soonest(holders, random)
        .filter(holder -> holder.expectedMillis() <= keepMillis)
        .or(() -> home(engines, prompt, soonestMillis))
        .or(() -> soonest)
        .map(Candidate::id);
  }

  /** Returns the first home of the prefix that is not much busier than the least busy engine. */
  private static Optional<Candidate> home(
      List<Candidate> engines, Prompt prompt, double soonestMillis) {
    return engines.stream()
        .map(engine -> new Home(engine, score(engine, prompt.prefix())))
        .sorted(Comparator.comparingLong(Home::score))
        .limit(HOMES_TRIED)
        .map(Home::engine)
        .filter(
            home ->
                home.expectedMillis()
                    <= soonestMillis + home.ownPrefillMillis() * HOME_LOAD_TOLERANCE)
        .findFirst();
  }

  /**
   * Returns the engine with the earliest expected first token; a random one of several equal
   * engines.
   */
  private static Optional<Candidate> soonest(List<Candidate> engines, RandomGenerator random) {
    Candidate best = null;
    double bestMillis = Double.MAX_VALUE;
    int first = engines.isEmpty() ? 0 : random.nextInt(engines.size());
    for (int i = 0; i < engines.size(); i++) {
      Candidate engine = engines.get((first + i) % engines.size());
      double millis = engine.expectedMillis();
      if (millis < bestMillis) {
        best = engine;
        bestMillis = millis;
      }
    }
    return Optional.ofNullable(best);
  }

  private static long score(Candidate engine, String prefix) {
    return Hashing.komihash5_0().hashCharsToLong(engine.id().name() + '\n' + prefix);
  }
}
