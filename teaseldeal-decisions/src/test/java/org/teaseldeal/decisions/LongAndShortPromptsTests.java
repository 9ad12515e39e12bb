package org.teaseldeal.decisions;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.teaseldeal.api.BackendServerId;

/**
 * Simulates engines that read prompts one after another, and instances that learn of each other's
 * prompts only after 120 ms.
 *
 * <p>The load: prompts of 12,000 tokens, of which 5,400 are shared by one in some hundred, with a
 * target time of 0.6 s, before prompts of 830 tokens with one of 0.3 s; engines that read 101
 * tokens in a millisecond at speeds of 0.6, 1 and 1.6, each 2.5 times slower for 15 in 100 of the
 * time, in spells of 0.6 s.
 */
class LongAndShortPromptsTests {
  private static final int ENGINES = 24;
  private static final int INSTANCES = 12;
  private static final double TOKENS_PER_MS = 101;
  private static final double[] SPEEDS = {0.6, 1.0, 1.6};
  private static final double NEWS_DELAY_MS = 120;
  private static final double SPELL_MS = 600;
  private static final Duration LONG_TARGET = Duration.ofMillis(600);
  private static final Duration SHORT_TARGET = Duration.ofMillis(300);

  /** Part of the target time that is left for the engine, the way to it taking the rest. */
  private static final double ENGINE_PART = 0.8;

  private static final double SHORT_LIMIT_MS = 300 * ENGINE_PART;

  /** Slow spells make some of the long prompts late at any engine. */
  private static final double MAX_LONG_LATE = 0.05;

  private static final double LONG_PER_SECOND = 80;
  private static final double SHORT_PER_SECOND = 194;
  private static final double SECONDS = 40;

  private record Sent(double at, int instance, int engine, double firstTokenAt, long tokens) {}

  private enum Rule {
    /** All engines are as fast as their data sheets say, and used alike. */
    SHEET,
    /** The speeds are fitted, and long and short prompts use different engines first. */
    SEPARATE,
    /** As before, and only some engines are examined. */
    SEPARATE_SHORTLIST
  }

  /** What a play gave. */
  private record Result(
      double longLate, double shortLate, double shortP99, long readTokens, double[] busy) {}

  private final class Play {
    private final Rule rule;
    private final Random random = new Random(11);
    private final Random choice = new Random(5);
    private final double[] freeAt = new double[ENGINES];
    private final double[] busy = new double[ENGINES];
    private final List<Sent> sent = new ArrayList<>();
    private final List<Map<String, Boolean>> caches = new ArrayList<>();
    private final EngineRates[] rates = new EngineRates[INSTANCES];
    private final PromptMix[] mixes = new PromptMix[INSTANCES];
    private final List<BackendServerId> ids = new ArrayList<>();
    private final EngineShortlist shortlist;
    private final List<double[]> observations = new ArrayList<>();

    Play(Rule rule) {
      this.rule = rule;
      for (int i = 0; i < ENGINES; i++) {
        ids.add(new BackendServerId("engine-" + i));
        caches.add(
            new LinkedHashMap<>(16, 0.75f, true) {
              private static final long serialVersionUID = 1L;

              @Override
              protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
                return size() > 30;
              }
            });
      }
      for (int i = 0; i < INSTANCES; i++) {
        rates[i] = new EngineRates();
        mixes[i] = new PromptMix();
      }
      shortlist = new EngineShortlist(ids);
    }

    Result run(double longPerSecond, double shortPerSecond, double seconds) {
      double now = 0;
      double perMs = (longPerSecond + shortPerSecond) / 1_000;
      int longs = 0;
      int longLate = 0;
      List<Double> shortTimes = new ArrayList<>();
      long read = 0;
      while (now < seconds * 1_000) {
        now += -Math.log(1 - random.nextDouble()) / perMs;
        boolean isLong = random.nextDouble() < longPerSecond / (longPerSecond + shortPerSecond);
        String prefix = (isLong ? "long-" : "short-") + random.nextInt(isLong ? 200 : 300);
        long unshared = isLong ? 3_000 + random.nextInt(7_200) : 200 + random.nextInt(860);
        long shared = isLong ? 5_400 : 200;
        int instance = random.nextInt(INSTANCES);
        deliver(now);
        int engine = place(now, instance, prefix, shared, unshared, isLong);
        boolean cached = caches.get(engine).put(prefix, true) != null;
        long tokens = cached ? unshared : shared + unshared;
        read += tokens;
        double millis = 5 + tokens / TOKENS_PER_MS * slowness(engine, now);
        double firstTokenAt = Math.max(now, freeAt[engine]) + millis;
        busy[engine] += millis;
        freeAt[engine] = firstTokenAt;
        sent.add(new Sent(now, instance, engine, firstTokenAt, tokens));
        boolean warm = now > seconds * 300;
        if (warm && isLong) {
          longs++;
          longLate += firstTokenAt - now > LONG_TARGET.toMillis() * ENGINE_PART ? 1 : 0;
        } else if (warm) {
          shortTimes.add(firstTokenAt - now);
        }
      }
      double[] sorted = shortTimes.stream().mapToDouble(Double::doubleValue).sorted().toArray();
      double late =
          Arrays.stream(sorted)
              .filter(each -> each > SHORT_TARGET.toMillis() * ENGINE_PART)
              .count();
      return new Result(
          (double) longLate / longs,
          late / sorted.length,
          sorted[(int) (sorted.length * 0.99)],
          read,
          Arrays.stream(busy).map(each -> each / (seconds * 1_000)).toArray());
    }

    private double slowness(int engine, double at) {
      long spell = (long) (at / SPELL_MS);
      boolean slow = new Random(engine * 1_000_003L + spell).nextInt(100) < 15;
      return (slow ? 2.5 : 1) / SPEEDS[engine % SPEEDS.length];
    }

    /** Passes first tokens that have arrived on to the rates, and forgets old requests. */
    private void deliver(double now) {
      observations.removeIf(
          each -> {
            if (each[0] > now) {
              return false;
            }
            rates[(int) each[1]].onFirstToken(
                ids.get((int) each[2]),
                Duration.ofNanos((long) (each[3] * 1e6)),
                (long) each[4],
                (long) each[5],
                0);
            return true;
          });
      sent.removeIf(each -> each.firstTokenAt() + 1_000 < now);
    }

    private int place(
        double now, int instance, String prefix, long shared, long unshared, boolean isLong) {
      long[] ahead = new long[ENGINES];
      for (Sent each : sent) {
        boolean known = each.instance() == instance || each.at() + NEWS_DELAY_MS <= now;
        double end = each.firstTokenAt() + (each.instance() == instance ? 0 : NEWS_DELAY_MS);
        if (known && end > now) {
          ahead[each.engine()] += each.tokens();
        }
      }
      EngineRates fitted = rates[instance];
      PromptMix mix = mixes[instance];
      boolean separate = rule != Rule.SHEET;
      int longEngines = separate ? mix.enginesForLong(ENGINES) : 0;
      boolean counted = mix.isLong(fitted.readMillis(shared + unshared));
      Duration target = isLong ? LONG_TARGET : SHORT_TARGET;
      PromptPlacement.Prompt prompt = new PromptPlacement.Prompt(prefix, target);
      PromptPlacement.Candidate chosen = null;
      if (rule == Rule.SEPARATE_SHORTLIST) {
        List<PromptPlacement.Candidate> some = new ArrayList<>();
        for (int engine : shortlist.examine(prefix, longEngines, counted, choice)) {
          some.add(
              candidate(engine, ahead, prefix, shared, unshared, fitted, longEngines, counted));
        }
        chosen = PromptPlacement.chooseCandidate(some, prompt, choice).orElseThrow();
      }
      if (chosen == null || chosen.expectedMillis() > target.toMillis()) {
        List<PromptPlacement.Candidate> all = new ArrayList<>();
        for (int engine = 0; engine < ENGINES; engine++) {
          all.add(candidate(engine, ahead, prefix, shared, unshared, fitted, longEngines, counted));
        }
        chosen = PromptPlacement.chooseCandidate(all, prompt, choice).orElseThrow();
      }
      int engine = ids.indexOf(chosen.id());
      boolean cached = caches.get(engine).containsKey(prefix);
      long uncached = cached ? unshared : shared + unshared;
      mix.onPrompt(
          fitted.readMillis(shared + unshared),
          fitted.readMillis(uncached),
          target,
          Instant.ofEpochMilli((long) now));
      double millis =
          Math.max(now, freeAt[engine])
              - now
              + 5
              + uncached / TOKENS_PER_MS * slowness(engine, now);
      observations.add(
          new double[] {now + millis, instance, engine, millis, ahead[engine], uncached});
      return engine;
    }

    private PromptPlacement.Candidate candidate(
        int engine,
        long[] ahead,
        String prefix,
        long shared,
        long unshared,
        EngineRates fitted,
        int longEngines,
        boolean isLong) {
      boolean holds = caches.get(engine).containsKey(prefix);
      long uncached = holds ? unshared : shared + unshared;
      BackendServerId id = ids.get(engine);
      if (rule == Rule.SHEET) {
        return new PromptPlacement.Candidate(id, 0, ahead[engine], uncached, holds, 1);
      }
      double factor = fitted.factor(id);
      return new PromptPlacement.Candidate(
          id,
          fitted.firstTokenMillis(ahead[engine] + uncached, 0) * factor,
          fitted.readMillis(uncached) * factor,
          holds,
          Long.MAX_VALUE,
          shortlist.isPreferred(engine, longEngines, isLong),
          shortlist.hash(engine));
    }
  }

  /** Guards against callers of short prompts that wait for long ones at the same engine. */
  @Test
  void bothKindsMeetTheirAimsWhereOneRuleForAllMissesThem() {
    Result alike = new Play(Rule.SHEET).run(LONG_PER_SECOND, SHORT_PER_SECOND, SECONDS);
    Result separate = new Play(Rule.SEPARATE).run(LONG_PER_SECOND, SHORT_PER_SECOND, SECONDS);
    assertTrue(alike.shortP99() > SHORT_LIMIT_MS, alike::toString);
    assertMeetAims(separate);
    assertTrue(separate.shortLate() < alike.shortLate() / 2, separate::toString);
  }

  /** Guards against engines that stand idle for one kind while the other one waits. */
  @Test
  void setsNoEngineAside() {
    Result separate = new Play(Rule.SEPARATE).run(LONG_PER_SECOND, SHORT_PER_SECOND, SECONDS);
    double least = Arrays.stream(separate.busy()).min().orElse(0);
    double mean = Arrays.stream(separate.busy()).average().orElse(0);
    assertTrue(least > mean / 3, "%.2f of %.2f".formatted(least, mean));
  }

  /** Guards against a division that fits one mix only. */
  @Test
  void meetsTheAimsWhenTheLongShareDoublesOrHalves() {
    assertMeetAims(new Play(Rule.SEPARATE).run(LONG_PER_SECOND, SHORT_PER_SECOND / 2, SECONDS));
    assertMeetAims(new Play(Rule.SEPARATE).run(LONG_PER_SECOND / 2, SHORT_PER_SECOND, SECONDS));
  }

  /** Guards against prompts whose shared part is read again at every engine. */
  @Test
  void readsLittleMoreThanOneRuleForAll() {
    Result alike = new Play(Rule.SHEET).run(LONG_PER_SECOND, SHORT_PER_SECOND, SECONDS);
    Result separate =
        new Play(Rule.SEPARATE_SHORTLIST).run(LONG_PER_SECOND, SHORT_PER_SECOND, SECONDS);
    assertTrue(separate.readTokens() < alike.readTokens() * 1.06, separate::toString);
  }

  /** Guards against worse places because only a part of the engines is examined. */
  @Test
  void placesPromptsAsWellIfOnlySomeEnginesAreExamined() {
    Result all = new Play(Rule.SEPARATE).run(LONG_PER_SECOND, SHORT_PER_SECOND, SECONDS);
    Result some = new Play(Rule.SEPARATE_SHORTLIST).run(LONG_PER_SECOND, SHORT_PER_SECOND, SECONDS);
    assertMeetAims(some);
    assertTrue(some.readTokens() < all.readTokens() * 1.03, some::toString);
  }

  private static void assertMeetAims(Result result) {
    assertTrue(result.shortP99() <= SHORT_LIMIT_MS, result::toString);
    assertTrue(result.longLate() <= MAX_LONG_LATE, result::toString);
  }
}
