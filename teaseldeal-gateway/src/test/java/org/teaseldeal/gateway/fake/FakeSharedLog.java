package org.teaseldeal.gateway.fake;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.teaseldeal.gateway.log.KeyedRecord;
import org.teaseldeal.gateway.log.PositionedRecord;
import org.teaseldeal.gateway.log.SharedLog;

/**
 * A shared log in memory that keeps the latest record of each key. Each writer's calls are answered
 * when the test calls {@link Port#answerCalls()}.
 */
public final class FakeSharedLog {
  /** How the calls of a writer behave. */
  public enum Behaviour {
    /** Calls are carried out and answered. */
    NORMAL,
    /** Calls don't reach the log and fail. */
    UNREACHABLE,
    /** Appends are applied, but their answers are lost. */
    ANSWERS_LOST,
    /** Appends are applied some rounds later, just before their answers, so reads overtake them. */
    SLOW_APPENDS,
    /** Appends are reported as failed but are applied some time later. */
    APPLIED_LATE,
    /** Appends are carried out, but under another key, where nobody can read the values. */
    MISPLACED
  }

  private static final class Writer {
    private long epoch = -1;
    private long sequence = -1;
    private long lastOffset;
  }

  private static final int SLOW_APPEND_ROUNDS = 3;
  private static final int LATE_APPEND_ROUNDS = 50;

  /** The longest queue of appends, in rounds. The log rejects appends beyond it. */
  private static final int MAX_QUEUED_ROUNDS = 200;

  private final List<PositionedRecord> records = new ArrayList<>();
  private final Map<String, Writer> writers = new HashMap<>();
  private final Queue<Runnable> queuedAppends = new ArrayDeque<>();
  private long firstRetainedOffset;
  private int appends;
  private int appendsPerRound;

  /** Drops all records except the latest one of each key. */
  public void compact() {
    firstRetainedOffset = records.size();
  }

  /**
   * From now on the appends of all writers are queued, and a round applies {@code count} of them.
   */
  public void appendsPerRound(int count) {
    appendsPerRound = count;
  }

  /** Applies the queued appends of one round. */
  public void applyRound() {
    for (int i = 0; i < appendsPerRound && !queuedAppends.isEmpty(); i++) {
      queuedAppends.remove().run();
    }
  }

  /** The number of appends that were applied. */
  public int appends() {
    return appends;
  }

  /** The log as one writer accesses it. */
  public final class Port implements SharedLog {
    private final String producer;
    private final List<Runnable> answers = new ArrayList<>();
    private final List<Supplier<AppendOutcome>> lateAppends = new ArrayList<>();
    private int rounds;
    private int reads;
    private Behaviour behaviour = Behaviour.NORMAL;

    Port(String producer) {
      this.producer = producer;
    }

    /** Sets the behaviour of the following calls. */
    public void behaviour(Behaviour newBehaviour) {
      this.behaviour = newBehaviour;
    }

    /** The number of reads since the count was last reset. */
    public int reads() {
      return reads;
    }

    /** Resets the number of reads. */
    public void resetReads() {
      reads = 0;
    }

    /**
     * Gives the answers of the calls made so far. Every fiftieth call also applies the delayed
     * appends.
     */
    public void answerCalls() {
      if (++rounds % LATE_APPEND_ROUNDS == 0) {
        for (Supplier<AppendOutcome> append : lateAppends) {
          AppendOutcome ignored = append.get();
        }
        lateAppends.clear();
      }
      List<Runnable> due = List.copyOf(answers);
      answers.clear();
      due.forEach(Runnable::run);
    }

    @Override
    public void append(
        long epoch, long sequence, List<KeyedRecord> batch, Consumer<AppendOutcome> outcome) {
      Supplier<AppendOutcome> append = () -> appendNow(producer, epoch, sequence, batch);
      AppendOutcome unknown = new AppendOutcome.Unknown(behaviour.name());
      switch (behaviour) {
        case NORMAL -> appendNormally(append, outcome);
        case MISPLACED ->
            appendNormally(() -> appendNow(producer, epoch, sequence, misplaced(batch)), outcome);
        case UNREACHABLE -> answers.add(() -> outcome.accept(unknown));
        case ANSWERS_LOST -> {
          AppendOutcome lost = append.get();
          answers.add(
              () -> outcome.accept(lost instanceof AppendOutcome.Appended ? unknown : lost));
        }
        case SLOW_APPENDS -> answerAfter(SLOW_APPEND_ROUNDS, () -> outcome.accept(append.get()));
        case APPLIED_LATE -> {
          answers.add(() -> outcome.accept(unknown));
          lateAppends.add(append);
        }
      }
    }

    private static List<KeyedRecord> misplaced(List<KeyedRecord> batch) {
      return batch.stream()
          .map(each -> new KeyedRecord(each.key().replaceAll("[^|]*$", "other"), new byte[] {9}))
          .toList();
    }

    private void appendNormally(Supplier<AppendOutcome> append, Consumer<AppendOutcome> outcome) {
      Runnable apply =
          () -> {
            AppendOutcome done = append.get();
            answers.add(() -> outcome.accept(done));
          };
      if (appendsPerRound == 0) {
        apply.run();
      } else if (queuedAppends.size() < MAX_QUEUED_ROUNDS * appendsPerRound) {
        queuedAppends.add(apply);
      } else {
        answers.add(() -> outcome.accept(new AppendOutcome.Unknown("busy")));
      }
    }

    @Override
    public void read(long offset, Consumer<ReadOutcome> outcome) {
      reads++;
      ReadOutcome result = readable() ? readNow(offset) : failed();
      answers.add(() -> outcome.accept(result));
    }

    @Override
    public void readNewest(Consumer<ReadOutcome> outcome) {
      reads++;
      ReadOutcome result = readable() ? latestByKey() : failed();
      answers.add(() -> outcome.accept(result));
    }

    private void answerAfter(int remainingRounds, Runnable answer) {
      answers.add(remainingRounds == 0 ? answer : () -> answerAfter(remainingRounds - 1, answer));
    }

    private boolean readable() {
      return behaviour == Behaviour.NORMAL
          || behaviour == Behaviour.MISPLACED
          || behaviour == Behaviour.SLOW_APPENDS;
    }

    private static ReadOutcome failed() {
      return new ReadOutcome.Failed("the log is unreachable");
    }
  }

  /** Opens the log for the writer {@code producer}. */
  public Port port(String producer) {
    return new Port(producer);
  }

  private SharedLog.AppendOutcome appendNow(
      String producer, long epoch, long sequence, List<KeyedRecord> batch) {
    Writer writer = writers.computeIfAbsent(producer, name -> new Writer());
    if (epoch < writer.epoch) {
      return new SharedLog.AppendOutcome.Superseded();
    }
    if (epoch == writer.epoch && sequence <= writer.sequence) {
      return new SharedLog.AppendOutcome.Appended(writer.lastOffset);
    }
    writer.epoch = epoch;
    writer.sequence = sequence;
    writer.lastOffset = records.size();
    for (KeyedRecord record : batch) {
      records.add(new PositionedRecord(records.size(), record));
    }
    appends += batch.isEmpty() ? 0 : 1;
    return new SharedLog.AppendOutcome.Appended(writer.lastOffset);
  }

  private SharedLog.ReadOutcome readNow(long offset) {
    if (offset < firstRetainedOffset) {
      return new SharedLog.ReadOutcome.Expired();
    }
    return new SharedLog.ReadOutcome.Records(
        records.subList((int) offset, records.size()), records.size());
  }

  private SharedLog.ReadOutcome latestByKey() {
    Map<String, PositionedRecord> byKey = new LinkedHashMap<>();
    for (PositionedRecord record : records) {
      byKey.put(record.record().key(), record);
    }
    return new SharedLog.ReadOutcome.Records(List.copyOf(byKey.values()), records.size());
  }
}
