package org.teaseldeal.core;

import java.util.Locale;
import java.util.SortedMap;
import java.util.TreeMap;
import org.teaseldeal.api.ErrorKind;

/** Counters of one instance. They only grow, and only the instance's single thread writes them. */
public final class CoreCounters {
  private final long[] counts = new long[Counter.values().length];
  private final long[] problemCounts = new long[ErrorKind.values().length];

  /** Adds one. */
  public void increment(Counter counter) {
    add(counter, 1);
  }

  /** Adds {@code amount}. */
  public void add(Counter counter, long amount) {
    counts[counter.ordinal()] += amount;
  }

  /** Sets {@code counter} to a count that is maintained elsewhere. */
  public void set(Counter counter, long value) {
    counts[counter.ordinal()] = value;
  }

  /** Counts a final answer that is an error of {@code kind}. */
  public void countProblem(ErrorKind kind) {
    problemCounts[kind.ordinal()]++;
  }

  /** Returns the current value of {@code counter}. */
  public long value(Counter counter) {
    return counts[counter.ordinal()];
  }

  /** Returns how many callers received an error of {@code kind}. */
  public long problems(ErrorKind kind) {
    return problemCounts[kind.ordinal()];
  }

  /** Returns all counters by their names. An error kind's name is {@code problem_} and the kind. */
  public SortedMap<String, Long> values() {
    SortedMap<String, Long> values = new TreeMap<>();
    for (Counter counter : Counter.values()) {
      values.put(counter.label(), value(counter));
    }
    for (ErrorKind kind : ErrorKind.values()) {
      values.put("problem_" + kind.name().toLowerCase(Locale.ROOT), problems(kind));
    }
    return values;
  }
}
