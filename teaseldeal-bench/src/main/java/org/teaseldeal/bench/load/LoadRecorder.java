package org.teaseldeal.bench.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.teaseldeal.bench.scenario.Scenario;

/** Aggregates samples into a load result. Instances are thread-safe. */
public final class LoadRecorder {
  private static final long HIGHEST_MICROS = Duration.ofMinutes(60).toNanos() / 1000;

  private static final class Aggregate {
    private final Map<Outcome, Long> outcomes = new EnumMap<>(Outcome.class);
    private final Map<String, Long> causes = new TreeMap<>();
    private final Histogram toFirst = new Histogram(3);
    private final Histogram toEnd = new Histogram(3);
    private final Histogram gaps = new Histogram(3);
    private long sent;
    private long frames;

    void add(Sample sample) {
      sent++;
      frames += sample.frames();
      outcomes.merge(sample.outcome(), 1L, Long::sum);
      sample.cause().ifPresent(cause -> causes.merge(cause, 1L, Long::sum));
      sample.toFirst().ifPresent(time -> record(toFirst, time));
      if (sample.outcome() == Outcome.IN_TIME || sample.outcome() == Outcome.LATE) {
        record(toEnd, sample.toEnd());
      }
      sample.gaps().forEach(gap -> record(gaps, gap));
    }

    LoadResult.Part part() {
      return new LoadResult.Part(
          sent,
          new EnumMap<>(outcomes.isEmpty() ? new EnumMap<>(Outcome.class) : outcomes),
          new TreeMap<>(causes),
          frames,
          Percentiles.of(toFirst),
          Percentiles.of(toEnd),
          Percentiles.of(gaps));
    }

    long count(Outcome outcome) {
      return outcomes.getOrDefault(outcome, 0L);
    }
  }

  private final Aggregate all = new Aggregate();
  private final Map<String, Aggregate> byFlow = new TreeMap<>();
  private final Map<String, Aggregate> byCustomer = new TreeMap<>();
  private final TreeMap<Integer, Aggregate> bySecond = new TreeMap<>();
  private double lagMillisMax;

  /** Adds the sample of one request. */
  public synchronized void add(Sample sample) {
    int second = (int) sample.arrival().due().toSeconds();
    all.add(sample);
    of(byFlow, sample.arrival().flow().name()).add(sample);
    of(byCustomer, sample.arrival().flow().customer().toString()).add(sample);
    bySecond.computeIfAbsent(second, key -> new Aggregate()).add(sample);
  }

  /** Records the lag of the load generator: how long after its due time a request was sent. */
  public synchronized void onSent(Duration lag) {
    lagMillisMax = Math.max(lagMillisMax, lag.toNanos() / 1e6);
  }

  /** Returns the number of samples recorded so far. */
  public synchronized long count() {
    return all.sent;
  }

  /** Returns a one-line summary of the progress, for display. */
  public synchronized String progress() {
    return "%d answered in time, %d late, %d refused, %d other"
        .formatted(
            all.count(Outcome.IN_TIME),
            all.count(Outcome.LATE),
            all.count(Outcome.REFUSED),
            notInTime(all));
  }

  /** Returns the result of the samples recorded so far. */
  public synchronized LoadResult result(Scenario scenario, String label) {
    Map<String, LoadResult.Part> flows = new TreeMap<>();
    byFlow.forEach((name, aggregate) -> flows.put(name, aggregate.part()));
    Map<String, LoadResult.Part> customers = new TreeMap<>();
    byCustomer.forEach((name, aggregate) -> customers.put(name, aggregate.part()));
    List<LoadResult.Second> seconds = new ArrayList<>();
    bySecond.forEach((second, aggregate) -> seconds.add(second(second, aggregate)));
    return new LoadResult(
        scenario.name(),
        scenario.title(),
        label,
        scenario.seed(),
        scenario.duration().toMillis() / 1000.0,
        all.part(),
        flows,
        customers,
        seconds,
        lagMillisMax);
  }

  private static LoadResult.Second second(int second, Aggregate aggregate) {
    return new LoadResult.Second(
        second,
        aggregate.sent,
        aggregate.count(Outcome.IN_TIME),
        aggregate.count(Outcome.LATE),
        aggregate.count(Outcome.REFUSED),
        notInTime(aggregate),
        aggregate.toFirst.getValueAtPercentile(95) / 1000.0);
  }

  private static long notInTime(Aggregate aggregate) {
    return aggregate.sent
        - aggregate.count(Outcome.IN_TIME)
        - aggregate.count(Outcome.LATE)
        - aggregate.count(Outcome.REFUSED);
  }

  private static Aggregate of(Map<String, Aggregate> map, String key) {
    return map.computeIfAbsent(key, name -> new Aggregate());
  }

  private static void record(Histogram histogram, Duration time) {
    histogram.recordValue(Math.clamp(time.toNanos() / 1000, 0, HIGHEST_MICROS));
  }
}
