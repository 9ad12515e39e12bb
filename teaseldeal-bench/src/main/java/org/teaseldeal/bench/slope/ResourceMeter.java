package org.teaseldeal.bench.slope;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;

/** Measures the processor time of the current thread and the retained heap. */
final class ResourceMeter {
  /**
   * The number of collections before the heap is read: the serial collector leaves some garbage in
   * place in three of four collections.
   */
  private static final int COLLECTIONS = 4;

  private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

  private ResourceMeter() {}

  /** Returns the lowest processor time of an action among several repetitions, in microseconds. */
  static double minCpuMicros(int repetitions, Runnable action) {
    double fastest = Double.POSITIVE_INFINITY;
    for (int i = 0; i < repetitions; i++) {
      fastest = Math.min(fastest, cpuMicros(action));
    }
    return fastest;
  }

  /** Returns the processor time that an action takes on this thread, in microseconds. */
  static double cpuMicros(Runnable action) {
    long before = THREADS.getCurrentThreadCpuTime();
    action.run();
    return (THREADS.getCurrentThreadCpuTime() - before) / 1e3;
  }

  /** Returns the heap in use after full collections, in bytes. */
  static long retainedBytes() {
    Runtime runtime = Runtime.getRuntime();
    for (int i = 0; i < COLLECTIONS; i++) {
      System.gc();
    }
    return runtime.totalMemory() - runtime.freeMemory();
  }
}
