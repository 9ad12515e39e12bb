package org.teaseldeal.standin.platform;

import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.teaseldeal.standin.runtime.Cancellable;
import org.teaseldeal.standin.runtime.Scheduler;
import org.teaseldeal.standin.runtime.TokenBucket;

/** All streams of the log, the append rate that they share, and reads that wait for a record. */
final class LogService {
  private static final int MAX_READ_BYTES = 4 << 20;

  private final InstantSource clock;
  private final Scheduler scheduler;
  private final PlatformSettings.Log settings;
  private final TokenBucket appendRate;
  private final Map<String, LogStream> streams = new HashMap<>();
  private final Map<String, List<Waiter>> waiters = new HashMap<>();

  LogService(InstantSource clock, Scheduler scheduler, PlatformSettings.Log settings) {
    this.clock = clock;
    this.scheduler = scheduler;
    this.settings = settings;
    this.appendRate = new TokenBucket(clock, settings.appendsPerSecond(), settings.appendBurst());
  }

  /**
   * Takes one append from the rate limit that all streams share; returns false if it is used up.
   */
  boolean tryAcquireAppend() {
    return appendRate.tryTake(1);
  }

  Duration timeUntilNextAppend() {
    return appendRate.timeUntilAvailable(1);
  }

  /** Stores a record, answers the reads that wait for it, and returns its offset. */
  long append(String stream, byte[] payload) {
    long offset = stream(stream).append(payload);
    List<Waiter> waiting = waiters.remove(stream);
    if (waiting != null) {
      waiting.forEach(waiter -> answerWaiter(stream, waiter));
    }
    return offset;
  }

  /**
   * Passes the records from offset {@code from} on to {@code answer}. If there are none yet, waits
   * up to {@code wait} for the next append; the returned handle cancels that wait.
   */
  Cancellable read(String stream, long from, int max, Duration wait, Consumer<ReadResult> answer) {
    ReadResult now = stream(stream).read(from, max, MAX_READ_BYTES);
    boolean noneYet = now instanceof ReadResult.Records found && found.records().isEmpty();
    if (!noneYet || wait.isZero()) {
      answer.accept(now);
      return () -> {};
    }
    return addWaiter(stream, from, max, wait, answer);
  }

  Map<String, LogStream> streams() {
    return Map.copyOf(streams);
  }

  int waitingReads() {
    return waiters.values().stream().mapToInt(List::size).sum();
  }

  private Cancellable addWaiter(
      String stream, long from, int max, Duration wait, Consumer<ReadResult> answer) {
    Waiter waiter = new Waiter(from, max, answer);
    waiters.computeIfAbsent(stream, name -> new ArrayList<>()).add(waiter);
    waiter.timeout =
        scheduler.schedule(
            wait,
            () -> {
              removeWaiter(stream, waiter);
              answerWaiter(stream, waiter);
            });
    return () -> {
      waiter.timeout.cancel();
      removeWaiter(stream, waiter);
    };
  }

  private void removeWaiter(String stream, Waiter waiter) {
    List<Waiter> waiting = waiters.get(stream);
    if (waiting != null) {
      waiting.remove(waiter);
    }
  }

  // A read from an offset beyond the end is answered too; its result's next offset shows this.
  private void answerWaiter(String stream, Waiter waiter) {
    waiter.timeout.cancel();
    waiter.answer.accept(stream(stream).read(waiter.from, waiter.max, MAX_READ_BYTES));
  }

  private LogStream stream(String name) {
    return streams.computeIfAbsent(
        name,
        unused ->
            new LogStream(
                clock,
                settings.retention(),
                settings.retentionRecords(),
                settings.retentionBytes()));
  }

  private static final class Waiter {
    final long from;
    final int max;
    final Consumer<ReadResult> answer;
    Cancellable timeout = () -> {};

    Waiter(long from, int max, Consumer<ReadResult> answer) {
      this.from = from;
      this.max = max;
      this.answer = answer;
    }
  }
}
