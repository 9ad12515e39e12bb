package org.teaseldeal.decisions;

import com.dynatrace.hash4j.hashing.Hashing;
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
 * and the caches hold many copies of few. The engine is therefore the first by rendezvous hash of
 * the beginning, which all instances work out alike without a message.
 *
 * <p>Load pattern: one subject takes a third of the requests. Its first engine alone would queue
 * while others idle, so an engine with more than {@link #CROWDED} times the mean of this instance's
 * own running requests is passed over for the next by the same hash; a hot subject thus spreads
 * over just as many engines as it needs.
 */
public final class PromptPlacement {
  /**
   * An engine.
   *
   * @param running this instance's requests there
   * @param slowness its time to answer relative to the others'
   */
  public record Candidate(BackendServerId id, int running, double slowness) {
    public Candidate {
      Preconditions.requireNotNegative(running, "running");
    }

    private double load() {
      return (running + 1) * slowness;
    }
  }

  /** Times the mean load beyond which an engine is passed over. Below 1.5 chance alone spreads. */
  private static final double CROWDED = 1.5;

  /** Own requests that an engine may have in any case: the mean is near one at today's sizes. */
  private static final double ALWAYS_ALLOWED = 3;

  private static final Comparator<Candidate> BY_LOAD =
      Comparator.comparingDouble(Candidate::load).thenComparing(Candidate::id);

  private PromptPlacement() {}

  /**
   * Chooses among {@code engines}.
   *
   * @param beginning names what the prompt shares with others; empty if nothing
   */
  public static Optional<BackendServerId> choose(
      List<Candidate> engines, String beginning, RandomGenerator random) {
    if (engines.isEmpty()) {
      return Optional.empty();
    }
    if (beginning.isEmpty()) {
      return Optional.of(lessLoadedOfTwo(engines, random).id());
    }
    double mean = engines.stream().mapToDouble(Candidate::load).average().orElse(1);
    double bound = Math.max(ALWAYS_ALLOWED, CROWDED * mean);
    return engines.stream()
        .filter(engine -> engine.load() <= bound)
        .max(Comparator.comparingLong(engine -> score(engine, beginning)))
        .or(() -> engines.stream().min(BY_LOAD))
        .map(Candidate::id);
  }

  private static Candidate lessLoadedOfTwo(List<Candidate> engines, RandomGenerator random) {
    Candidate first = engines.get(random.nextInt(engines.size()));
    Candidate second = engines.get(random.nextInt(engines.size()));
    return BY_LOAD.compare(first, second) <= 0 ? first : second;
  }

  private static long score(Candidate engine, String beginning) {
    return Hashing.komihash5_0().hashCharsToLong(engine.id().name() + '\n' + beginning);
  }
}
