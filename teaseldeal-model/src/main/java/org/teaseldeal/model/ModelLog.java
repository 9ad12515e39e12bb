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

/**
 * The simulated shared log, which applies appends one after the other and serves records up to the
 * age that the scenario sets.
 */
final class ModelLog {
  /** Name of the log's node in the network. */
  static final String NODE = "log";

  /** Time after which a call without an answer counts as failed. */
  private static final Duration CALL_TIMEOUT = Duration.ofMillis(1_000);

  private static final int REQUEST_OVERHEAD_BYTES = 200;
  private static final int RESPONSE_OVERHEAD_BYTES = 100;

  private static final class ProducerState {
    private long epoch = -1;
    private long sequence = -1;
    private long lastOffset;
  }

  private record StoredRecord(PositionedRecord record, long atNanos) {}

  private final VirtualTime time;
  private final ModelNetwork network;
  private final Scenario.Log settings;
  private final List<StoredRecord> records = new ArrayList<>();
  private final Map<String, PositionedRecord> newestByKey = new LinkedHashMap<>();
  private final Map<String, ProducerState> producers = new HashMap<>();
  private long busyUntilNanos;
  private boolean down;
  private long appends;
  private long reads;

  ModelLog(VirtualTime time, ModelNetwork network, Scenario.Log settings) {
    this.time = time;
    this.network = network;
    this.settings = settings;
  }

  void setDown(boolean newDown) {
    down = newDown;
  }

  long appends() {
    return appends;
  }

  long reads() {
    return reads;
  }

  /** Returns the log client of one instance. */
  SharedLog clientOf(String instance) {
    return new Client(instance);
  }

  private final class Client implements SharedLog {
    private final String instance;

    Client(String instance) {
      this.instance = instance;
    }

    @Override
    public void append(
        long epoch, long sequence, List<KeyedRecord> batch, Consumer<AppendOutcome> outcome) {
      Call<AppendOutcome> call =
          new Call<>(outcome, new AppendOutcome.Unknown("no answer within " + CALL_TIMEOUT));
      int bytes =
          batch.stream().mapToInt(record -> record.key().length() + record.value().length).sum();
      network.sendOnConnection(
          instance,
          NODE,
          REQUEST_OVERHEAD_BYTES + bytes,
          () ->
              scheduleAppend(() -> answer(call, applyAppend(instance, epoch, sequence, batch), 0)));
    }

    @Override
    public void read(long offset, Consumer<ReadOutcome> outcome) {
      read(() -> recordsFrom(offset), outcome);
    }

    @Override
    public void readNewest(Consumer<ReadOutcome> outcome) {
      read(
          () -> new ReadOutcome.Records(List.copyOf(newestByKey.values()), records.size()),
          outcome);
    }

    private void read(Supplier<ReadOutcome> reading, Consumer<ReadOutcome> outcome) {
      reads++;
      Call<ReadOutcome> call =
          new Call<>(outcome, new ReadOutcome.Failed("no answer within " + CALL_TIMEOUT));
      network.sendOnConnection(
          instance,
          NODE,
          REQUEST_OVERHEAD_BYTES,
          () -> {
            if (!down) {
              ReadOutcome result = reading.get();
              answer(call, result, payloadBytes(result));
            }
          });
    }

    private <T> void answer(Call<T> call, T result, int bytes) {
      time.schedule(
          settings.answer(),
          () ->
              network.sendOnConnection(
                  NODE, instance, RESPONSE_OVERHEAD_BYTES + bytes, () -> call.complete(result)));
    }
  }

  private static int payloadBytes(SharedLog.ReadOutcome outcome) {
    return outcome instanceof SharedLog.ReadOutcome.Records records
        ? records.records().stream()
            .mapToInt(entry -> entry.record().key().length() + entry.record().value().length)
            .sum()
        : 0;
  }

  /** A call that is completed once, by the log's answer or by its timeout. */
  private final class Call<T> {
    private final Consumer<T> outcome;
    private boolean ended;

    Call(Consumer<T> outcome, T timeoutResult) {
      this.outcome = outcome;
      time.schedule(CALL_TIMEOUT, () -> complete(timeoutResult));
    }

    void complete(T result) {
      if (!ended) {
        ended = true;
        outcome.accept(result);
      }
    }
  }

  private void scheduleAppend(Runnable append) {
    if (down) {
      return;
    }
    busyUntilNanos = Math.max(busyUntilNanos, time.elapsedNanos()) + settings.append().toNanos();
    time.scheduleNanos(busyUntilNanos - time.elapsedNanos(), append);
  }

  private SharedLog.AppendOutcome applyAppend(
      String producer, long epoch, long sequence, List<KeyedRecord> batch) {
    ProducerState writer = producers.computeIfAbsent(producer, name -> new ProducerState());
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
      records.add(new StoredRecord(positioned, time.elapsedNanos()));
      newestByKey.put(record.key(), positioned);
    }
    appends += batch.isEmpty() ? 0 : 1;
    return new SharedLog.AppendOutcome.Appended(writer.lastOffset);
  }

  private SharedLog.ReadOutcome recordsFrom(long offset) {
    boolean retained =
        offset >= records.size()
            || records.get((int) offset).atNanos()
                >= time.elapsedNanos() - settings.history().toNanos();
    if (!retained) {
      return new SharedLog.ReadOutcome.Expired();
    }
    return new SharedLog.ReadOutcome.Records(
        records.subList((int) Math.min(offset, records.size()), records.size()).stream()
            .map(StoredRecord::record)
            .toList(),
        records.size());
  }
}
