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
 * and the caches hold many copies of few. So a prompt goes where its beginning lies, or to the
 * beginning's home, the first engine by rendezvous hash, which all instances work out alike.
 *
 * <p>Load pattern: all caches are empty, after a start or a crash of engines, and each prompt has
 * to be read whole. The hash alone then gives some engines twice the work of others. So a beginning
 * that lies nowhere yet leaves its home for the next one if that is busier than the least busy
 * engine, counting all that is to be read there, by more than the prompt's own reading.
 *
 * <p>Load pattern: one subject takes a third of the requests, or a prompt of fifty thousand tokens
 * keeps an engine busy for a second. Where the beginning lies, callers wait while others idle. So
 * an engine is passed over as soon as the first token is expected there later than it is on time; a
 * hot subject is cached at just as many engines as it needs.
 */
public final class PromptPlacement {
  /**
   * An engine, and what the prompt would be there.
   *
   * @param running requests that it is thought to have
   * @param promptTokensAhead of requests sent there whose answer hasn't begun
   * @param uncachedTokens of the prompt that it would have to read
   * @param holdsBeginning whether all that the prompt shares with others is thought to be cached
   * @param slowness its time to answer relative to the others'
   */
  public record Candidate(
      BackendServerId id,
      int running,
      long promptTokensAhead,
      long uncachedTokens,
      boolean holdsBeginning,
      double slowness) {
    public Candidate {
      Preconditions.requireNotNegative(running, "running");
      Preconditions.requireNotNegative(promptTokensAhead, "prompt tokens ahead");
      Preconditions.requireNotNegative(uncachedTokens, "uncached tokens");
    }

    /** The wait for the first token of the prompt. */
    private double expectedMillis() {
      double reading = (promptTokensAhead + uncachedTokens) / TOKENS_PER_MILLI;
      return (reading + running * MILLIS_PER_RUNNING) * slowness;
    }

    private double ownReadingMillis() {
      return uncachedTokens / TOKENS_PER_MILLI * slowness;
    }
  }

  /**
   * A prompt to place.
   *
   * @param beginning names what it shares with others; empty if nothing
   * @param aim until when the first token is on time
   */
  public record Prompt(String beginning, Duration aim) {}

  /** Prompt tokens that an engine reads in a millisecond, from the sheets of those in use. */
  private static final double TOKENS_PER_MILLI = 60;

  /** What each running request adds to the wait: its step's part of the time between chunks. */
  private static final double MILLIS_PER_RUNNING = 0.5;

  /**
   * The part of the aim that the first token may be expected after where the beginning lies. The
   * whole of it: a beginning that is read again elsewhere costs its engine as much time as the wait
   * saves.
   */
  private static final double HOME_PATIENCE = 1.0;

  /** Homes of a beginning that are tried in turn before any engine will do. */
  private static final int HOMES = 3;

  /**
   * How much busier than others a home may be, in the prompt's own reading time. An instance that
   * has just started doesn't know what is cached: the home may be about to save all of that time.
   */
  private static final double HOME_LEAD = 1.0;

  private PromptPlacement() {}

  /** Chooses among {@code engines}; none only if there are none. */
  public static Optional<BackendServerId> choose(
      List<Candidate> engines, Prompt prompt, RandomGenerator random) {
    Optional<Candidate> soonest = soonest(engines, random);
    if (prompt.beginning().isEmpty() || soonest.isEmpty()) {
      return soonest.map(Candidate::id);
    }
    double soonestMillis = soonest.get().expectedMillis();
    double patience = Math.max(soonestMillis, prompt.aim().toMillis() * HOME_PATIENCE);
    List<Candidate> holders = engines.stream().filter(Candidate::holdsBeginning).toList();
    return soonest(holders, random)
        .filter(holder -> holder.expectedMillis() <= patience)
        .or(() -> home(engines, prompt, soonestMillis))
        .or(() -> soonest)
        .map(Candidate::id);
  }

  /** The first of a beginning's homes that isn't much busier than the least busy engine. */
  private static Optional<Candidate> home(
      List<Candidate> engines, Prompt prompt, double soonestMillis) {
    return engines.stream()
        .sorted(Comparator.comparingLong(engine -> score(engine, prompt.beginning())))
        .limit(HOMES)
        .filter(
            home -> home.expectedMillis() <= soonestMillis + home.ownReadingMillis() * HOME_LEAD)
        .findFirst();
  }

  /** The engine that is expected to answer first; of equal ones, any. */
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

  private static long score(Candidate engine, String beginning) {
    return Hashing.komihash5_0().hashCharsToLong(engine.id().name() + '\n' + beginning);
  }
}
