package org.teaseldeal.decisions;

import java.util.Arrays;
import java.util.List;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;
import org.teaseldeal.api.BackendServerId;

/**
 * Chooses the few engines that are examined for a prompt: the first homes of its prefix, and some
 * at random.
 *
 * <p>An instance on a quarter of a core needs milliseconds to compare 78 engines, and callers with
 * a target time of 0.3 s wait for it. The homes hold the prefix if any engine does, as prompts are
 * sent elsewhere only if these are busy. The best of a few random engines is nearly as idle as the
 * best of all; while the loads of other instances are known with a delay it is more so, because the
 * instances don't all choose the one that looks idle.
 *
 * <p>The order in which long prompts use the engines first ({@link PromptMix}) follows from the
 * engines' ids, so that all instances have the same one.
 */
public final class EngineShortlist {
  /** The number of homes examined: twice as many as are tried in order. */
  private static final int HOMES = 2 * PromptPlacement.HOMES_TRIED;

  private static final int RANDOM_PREFERRED = 6;
  private static final int RANDOM_OTHERS = 2;

  /** The largest number of engines of which all are examined. */
  private static final int ALL = HOMES + RANDOM_PREFERRED + RANDOM_OTHERS;

  private final long[] hashes;
  private final int[] engineAt;
  private final int[] rankOf;

  /** Creates the shortlist for the engines of a service. */
  public EngineShortlist(List<BackendServerId> engines) {
    hashes = engines.stream().mapToLong(id -> PromptPlacement.hash(id.name())).toArray();
    engineAt =
        IntStream.range(0, hashes.length)
            .boxed()
            .sorted((one, other) -> Long.compare(hashes[one], hashes[other]))
            .mapToInt(Integer::intValue)
            .toArray();
    rankOf = new int[hashes.length];
    for (int rank = 0; rank < engineAt.length; rank++) {
      rankOf[engineAt[rank]] = rank;
    }
  }

  /** Returns the hash of an engine, by its position in the list. */
  public long hash(int engine) {
    return hashes[engine];
  }

  /**
   * Returns whether a prompt uses an engine first.
   *
   * @param longEngines number of engines that long prompts use first; 0 if all prompts use all
   * @param isLong whether the prompt is long
   */
  public boolean isPreferred(int engine, int longEngines, boolean isLong) {
    return longEngines <= 0 || (rankOf[engine] < longEngines) == isLong;
  }

  /**
   * Returns the positions of the engines to examine; an engine may occur twice.
   *
   * @param prefix identifies the prefix that the prompt shares with others; empty if it shares none
   * @param longEngines number of engines that long prompts use first; 0 if all prompts use all
   * @param isLong whether the prompt is long
   */
  public int[] examine(String prefix, int longEngines, boolean isLong, RandomGenerator random) {
    if (hashes.length <= ALL) {
      return IntStream.range(0, hashes.length).toArray();
    }
    int from = longEngines > 0 && !isLong ? longEngines : 0;
    int to = longEngines > 0 && isLong ? longEngines : hashes.length;
    int[] examined = new int[ALL];
    int count = prefix.isEmpty() ? 0 : addHomes(examined, from, to, prefix);
    for (int i = 0; i < RANDOM_PREFERRED; i++) {
      examined[count++] = engineAt[from + random.nextInt(to - from)];
    }
    int others = hashes.length - (to - from);
    for (int i = 0; i < RANDOM_OTHERS && others > 0; i++) {
      int rank = random.nextInt(others);
      examined[count++] = engineAt[rank < from ? rank : rank + to - from];
    }
    return count == ALL ? examined : Arrays.copyOf(examined, count);
  }

  /** Puts the first homes among the ranks from {@code from} to {@code to} into {@code homes}. */
  private int addHomes(int[] homes, int from, int to, String prefix) {
    long prefixHash = PromptPlacement.hash(prefix);
    long[] scores = new long[HOMES];
    int count = 0;
    for (int rank = from; rank < to; rank++) {
      int engine = engineAt[rank];
      long score = PromptPlacement.homeScore(hashes[engine], prefixHash);
      if (count == HOMES && score >= scores[HOMES - 1]) {
        continue;
      }
      int at = count < HOMES ? count++ : HOMES - 1;
      for (; at > 0 && scores[at - 1] > score; at--) {
        scores[at] = scores[at - 1];
        homes[at] = homes[at - 1];
      }
      scores[at] = score;
      homes[at] = engine;
    }
    return count;
  }
}
