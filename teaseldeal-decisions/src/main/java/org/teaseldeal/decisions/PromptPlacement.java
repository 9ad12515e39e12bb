package org.teaseldeal.decisions;

import com.dynatrace.hash4j.hashing.Hashing;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
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
 *
 * <p>An engine that holds more tokens than its memory has preempts requests in the middle of their
 * answers, or crashes. Therefore a prompt goes only to an engine whose memory it fits in.
 *
 * <p>A prompt of 12 000 tokens before one of 800 costs the short one a third of its target time.
 * Therefore each kind goes to the engines that it uses first ({@link PromptMix}), and to any other
 * as soon as its first token is expected there too late.
 */
public final class PromptPlacement {
  /**
   * An engine, with the cost of the prompt at this engine.
   *
   * @param id the engine
   * @param expectedMillis expected time to the prompt's first token
   * @param prefillMillis the part of it that the engine needs to process the prompt itself
   * @param holdsPrefix whether the prompt's whole shared prefix is assumed to be cached there
   * @param memoryLeft number of tokens that the engine's memory has room for
   * @param preferred whether prompts of this length use the engine first
   * @param hash a hash of the engine's id, see {@link #hash}
   */
  public record Candidate(
      BackendServerId id,
      double expectedMillis,
      double prefillMillis,
      boolean holdsPrefix,
      long memoryLeft,
      boolean preferred,
      long hash) {
    /**
     * Creates an engine of known load that processes prompts as fast as the data sheets say.
     *
     * @param running estimated number of requests running at the engine
     * @param promptTokensAhead prompt tokens of requests sent there whose answer has not begun
     * @param uncachedTokens tokens of the prompt that the engine would have to process
     * @param holdsPrefix whether the prompt's whole shared prefix is assumed to be cached there
     * @param slowness the engine's answer time relative to the other engines'
     */
    public Candidate(
        BackendServerId id,
        int running,
        long promptTokensAhead,
        long uncachedTokens,
        boolean holdsPrefix,
        double slowness) {
      this(
          id,
          ((promptTokensAhead + uncachedTokens) / TOKENS_PER_MS + running * MS_PER_RUNNING_REQUEST)
              * slowness,
          uncachedTokens / TOKENS_PER_MS * slowness,
          holdsPrefix,
          Long.MAX_VALUE,
          true,
          PromptPlacement.hash(id.name()));
      Preconditions.requireNotNegative(running, "running");
      Preconditions.requireNotNegative(promptTokensAhead, "prompt tokens ahead");
      Preconditions.requireNotNegative(uncachedTokens, "uncached tokens");
    }
  }

  /**
   * A prompt to place.
   *
   * @param prefix identifies the prefix that the prompt shares with others; empty if it shares none
   * @param targetTime time within which the first token counts as on time
   * @param memoryTokens number of tokens that the prompt and its answer may take in an engine's
   *     memory
   */
  public record Prompt(String prefix, Duration targetTime, long memoryTokens) {
    /** Creates a prompt that fits into the memory of any engine. */
    public Prompt(String prefix, Duration targetTime) {
      this(prefix, targetTime, 0);
    }
  }

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
  static final int HOMES_TRIED = 3;

  /**
   * How much busier than the least busy engine a home may be, in multiples of the prompt's own
   * processing time. An instance that has just started does not know what is cached, and the home
   * may save all of that time.
   */
  private static final double HOME_LOAD_TOLERANCE = 1.0;

  /**
   * Fraction of the target time up to which a prompt stays at the engines that prompts of its
   * length use first. The rest is left for prompts of other instances that aren't known yet.
   */
  private static final double PREFERRED_TARGET_FRACTION = 0.5;

  private PromptPlacement() {}

  /** Chooses one of {@code engines}; empty only if the prompt fits into none. */
  public static Optional<BackendServerId> choose(
      List<Candidate> engines, Prompt prompt, RandomGenerator random) {
    return chooseCandidate(engines, prompt, random).map(Candidate::id);
  }

  /** Chooses like {@link #choose}, and returns the expected times too. */
  public static Optional<Candidate> chooseCandidate(
      List<Candidate> engines, Prompt prompt, RandomGenerator random) {
    Candidate chosen = choose(engines, prompt, true, random);
    if (isLate(chosen, prompt) && hasOthers(engines)) {
      chosen = choose(engines, prompt, false, random);
    }
    return Optional.ofNullable(chosen);
  }

  private static boolean isLate(@Nullable Candidate chosen, Prompt prompt) {
    return chosen == null
        || chosen.expectedMillis() > prompt.targetTime().toMillis() * PREFERRED_TARGET_FRACTION;
  }

  private static boolean hasOthers(List<Candidate> engines) {
    for (Candidate engine : engines) {
      if (!engine.preferred()) {
        return true;
      }
    }
    return false;
  }

  private static @Nullable Candidate choose(
      List<Candidate> engines, Prompt prompt, boolean preferredOnly, RandomGenerator random) {
    int size = engines.size();
    int first = size == 0 ? 0 : random.nextInt(size);
    Candidate soonest = null;
    Candidate holder = null;
    for (int i = 0; i < size; i++) {
      // Beginning anywhere takes a random one of several equal engines.
      Candidate engine = engines.get((first + i) % size);
      if (!mayRun(engine, prompt, preferredOnly)) {
        continue;
      }
      soonest = sooner(soonest, engine);
      holder = engine.holdsPrefix() ? sooner(holder, engine) : holder;
    }
    if (soonest == null || prompt.prefix().isEmpty()) {
      return soonest;
    }
    double keepMillis =
        Math.max(soonest.expectedMillis(), prompt.targetTime().toMillis() * CACHED_TARGET_FRACTION);
    if (holder != null && holder.expectedMillis() <= keepMillis) {
      return holder;
    }
    Candidate home = home(engines, prompt, preferredOnly, soonest.expectedMillis());
    return home == null ? soonest : home;
  }

  private static boolean mayRun(Candidate engine, Prompt prompt, boolean preferredOnly) {
    return engine.memoryLeft() >= prompt.memoryTokens() && (engine.preferred() || !preferredOnly);
  }

  private static Candidate sooner(@Nullable Candidate one, Candidate other) {
    return one == null || other.expectedMillis() < one.expectedMillis() ? other : one;
  }

  /** Returns the first home of the prefix that is not much busier than the least busy engine. */
  private static @Nullable Candidate home(
      List<Candidate> engines, Prompt prompt, boolean preferredOnly, double soonestMillis) {
    long prefixHash = hash(prompt.prefix());
    long lastScore = Long.MIN_VALUE;
    Candidate last = null;
    for (int tried = 0; tried < HOMES_TRIED; tried++) {
      Candidate next = null;
      long nextScore = Long.MAX_VALUE;
      for (int i = 0; i < engines.size(); i++) {
        Candidate engine = engines.get(i);
        long score = homeScore(engine.hash(), prefixHash);
        boolean later = last == null || score > lastScore;
        if (later && score <= nextScore && mayRun(engine, prompt, preferredOnly)) {
          next = engine;
          nextScore = score;
        }
      }
      if (next == null
          || next.expectedMillis() <= soonestMillis + next.prefillMillis() * HOME_LOAD_TOLERANCE) {
        return next;
      }
      last = next;
      lastScore = nextScore;
    }
    return null;
  }

  /** Returns the hash of an engine's id or of a prefix, which is the same in every process. */
  public static long hash(String text) {
    return Hashing.komihash5_0().hashCharsToLong(text);
  }

  /**
   * Returns the score of an engine among the homes of a prefix; the lowest score is the first home.
   */
  static long homeScore(long engineHash, long prefixHash) {
    long mixed = engineHash + prefixHash * 0x9E3779B97F4A7C15L;
    mixed = (mixed ^ (mixed >>> 30)) * 0xBF58476D1CE4E5B9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
    return mixed ^ (mixed >>> 31);
  }
}
