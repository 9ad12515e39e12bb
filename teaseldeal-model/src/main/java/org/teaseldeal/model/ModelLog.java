package org.teaseldeal.model;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.teaseldeal.gateway.log.KeyedRecord;
import org.teaseldeal.gateway.log.PositionedRecord;
import org.teaseldeal.gateway.log.SharedLog;

/** The shared log: takes appends one after the other, and keeps a history of some seconds. */
final class ModelLog {
  /** The node of the log in the network. */
  static final String NODE = "log";

  /** Until a call without an answer counts as failed. */
  private static final Duration TIMEOUT = Duration.ofMillis(1_000);

  private static final int REQUEST_OCTETS = 200;
  private static final int ANSWER_OCTETS = 100;

  private static final class Writer {
    private long epoch = -1;
    private long sequence = -1;
    private long lastOffset;
  }

  private record Kept(PositionedRecord record, long atNanos) {}

  private final VirtualTime time;
  private final ModelNetwork network;
  private final Scenario.Log terms;
  private final List<Kept> records = new ArrayList<>();
  private final Map<String, PositionedRecord> newest = new LinkedHashMap<>();
  private final Map<String, Writer> writers = new HashMap<>();
  private long busyUntil;
  private boolean down;
  private long appends;
  private long reads;

  ModelLog(VirtualTime time, ModelNetwork network, Scenario.Log terms) {
    this.time = time;
    this.network = network;
    this.terms = terms;
  }

  void down(boolean isDown) {
    down = isDown;
  }

  long appends() {
    return appends;
  }

  long reads() {
    return reads;
  }

  /** The log as one instance sees it. */
  SharedLog port(String instance) {
    return new Port(instance);
  }

  private final class Port implements SharedLog {
    private final String instance;

    Port(String instance) {
      this.instance = instance;
    }

    @Override
    public void append(
        long epoch, long sequence, List<KeyedRecord> batch, Consumer<AppendOutcome> outcome) {
      Call<AppendOutcome> call =
          new Call<>(outcome, new AppendOutcome.Unknown("no answer within " + TIMEOUT));
      int octets = batch.stream().mapToInt(each -> each.key().length() + each.value().length).sum();
      network.control(
          instance,
          NODE,
          REQUEST_OCTETS + octets,
          () -> inTurn(() -> answer(call, appendNow(instance, epoch, sequence, batch), 0)));
    }

    @Override
    public void read(long offset, Consumer<ReadOutcome> outcome) {
      read(() -> readNow(offset), outcome);
    }

    @Override
    public void readNewest(Consumer<ReadOutcome> outcome) {
      read(() -> new ReadOutcome.Records(List.copyOf(newest.values()), records.size()), outcome);
    }

    private void read(Supplier<ReadOutcome> reading, Consumer<ReadOutcome> outcome) {
      reads++;
      Call<ReadOutcome> call =
          new Call<>(outcome, new ReadOutcome.Failed("no answer within " + TIMEOUT));
      network.control(
          instance,
          NODE,
          REQUEST_OCTETS,
          () -> {
            if (!down) {
              ReadOutcome result = reading.get();
              answer(call, result, octetsOf(result));
            }
          });
    }

    private <T> void answer(Call<T> call, T result, int octets) {
      time.after(
          terms.answer(),
          () -> network.control(NODE, instance, ANSWER_OCTETS + octets, () -> call.answer(result)));
    }
  }

  private static int octetsOf(SharedLog.ReadOutcome outcome) {
    return outcome instanceof SharedLog.ReadOutcome.Records records
        ? records.records().stream()
            .mapToInt(each -> each.record().key().length() + each.record().value().length)
            .sum()
        : 0;
  }

  /** A call that is answered once, by the log or by its timeout. */
  private final class Call<T> {
    private final Consumer<T> outcome;
    private boolean over;

    Call(Consumer<T> outcome, T otherwise) {
      this.outcome = outcome;
      time.after(TIMEOUT, () -> answer(otherwise));
    }

    void answer(T result) {
      if (!over) {
        over = true;
        outcome.accept(result);
      }
    }
  }

  private void inTurn(Runnable append) {
    if (down) {
      return;
    }
    busyUntil = Math.max(busyUntil, time.nanos()) + terms.append().toNanos();
    time.afterNanos(busyUntil - time.nanos(), append);
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
      PositionedRecord positioned = new PositionedRecord(records.size(), record);
      records.add(new Kept(positioned, time.nanos()));
      newest.put(record.key(), positioned);
    }
    appends += batch.isEmpty() ? 0 : 1;
    return new SharedLog.AppendOutcome.Appended(writer.lastOffset);
  }

  private SharedLog.ReadOutcome readNow(long offset) {
    boolean kept =
        offset >= records.size()
            || records.get((int) offset).atNanos() >= time.nanos() - terms.history().toNanos();
    if (!kept) {
      return new SharedLog.ReadOutcome.Expired();
    }
    return new SharedLog.ReadOutcome.Records(
        records.subList((int) Math.min(offset, records.size()), records.size()).stream()
            .map(Kept::record)
            .toList(),
        records.size());
  }
}
