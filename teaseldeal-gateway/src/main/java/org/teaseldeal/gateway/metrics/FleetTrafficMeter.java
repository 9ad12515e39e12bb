package org.teaseldeal.gateway.metrics;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.function.Consumer;
import org.teaseldeal.api.Durations;
import org.teaseldeal.gateway.event.EventSink;
import org.teaseldeal.gateway.event.GatewayEvent;
import org.teaseldeal.gateway.log.KeyedRecord;
import org.teaseldeal.gateway.log.SharedLog;
import org.teaseldeal.gateway.peer.PeerTransport;

/**
 * Measures the traffic of an instance with the shared log and with other instances, and reports it
 * as an event every {@link #PERIOD}.
 *
 * <p>This traffic grows with the size of the fleet and not with the callers' load. Its figures
 * therefore help to distinguish a slow log, a saturated link and a busy processor.
 */
public final class FleetTrafficMeter {
  private static final Duration PERIOD = Duration.ofSeconds(5);

  private final EventSink events;
  private final InstantSource clock;
  private Instant periodEnd;
  private long appends;
  private long notesWritten;
  private Duration totalAppendTime = Duration.ZERO;
  private Duration slowestAppend = Duration.ZERO;
  private long reads;
  private long notesRead;
  private long messagesSent;
  private long bytesSent;
  private long messagesReceived;
  private long bytesReceived;
  private Duration longestStall = Duration.ZERO;

  /** Creates a meter whose first period begins now. */
  public FleetTrafficMeter(EventSink events, InstantSource clock) {
    this.events = events;
    this.clock = clock;
    this.periodEnd = clock.instant().plus(PERIOD);
  }

  /** A log that passes all calls to {@code log} and measures them. */
  public SharedLog meteredLog(SharedLog log) {
    return new MeteredLog(log);
  }

  /** A transport that sends all messages through {@code transport} and counts them. */
  public PeerTransport meteredTransport(PeerTransport transport) {
    return (address, message) -> {
      messagesSent++;
      bytesSent += message.length;
      transport.send(address, message);
    };
  }

  /** A receiver that passes all messages to {@code receiver} and counts them. */
  public Consumer<byte[]> meteredReceiver(Consumer<byte[]> receiver) {
    return message -> {
      messagesReceived++;
      bytesReceived += message.length;
      receiver.accept(message);
    };
  }

  /**
   * Records the delay of a tick of the event loop, and reports the measurements if a period has
   * ended.
   *
   * @param stall the delay of the tick
   */
  public void tick(Duration stall) {
    recordStall(stall);
    reportIfDue();
  }

  /** Records the delay of a round of the event loop. */
  public void recordStall(Duration stall) {
    longestStall = Durations.longer(longestStall, stall);
  }

  /** Returns when the present period ends. */
  public Instant periodEnd() {
    return periodEnd;
  }

  /** Reports the measurements if a period has ended. */
  public void reportIfDue() {
    Instant now = clock.instant();
    if (now.isBefore(periodEnd)) {
      return;
    }
    periodEnd = now.plus(PERIOD);
    Duration meanAppend = appends == 0 ? Duration.ZERO : totalAppendTime.dividedBy(appends);
    events.accept(
        new GatewayEvent.FleetTraffic(
            appends,
            notesWritten,
            meanAppend,
            slowestAppend,
            reads,
            notesRead,
            messagesSent,
            bytesSent,
            messagesReceived,
            bytesReceived,
            longestStall));
    reset();
  }

  private void reset() {
    appends = 0;
    notesWritten = 0;
    totalAppendTime = Duration.ZERO;
    slowestAppend = Duration.ZERO;
    reads = 0;
    notesRead = 0;
    messagesSent = 0;
    bytesSent = 0;
    messagesReceived = 0;
    bytesReceived = 0;
    longestStall = Duration.ZERO;
  }

  private void onAppend(int notes, Duration took) {
    appends++;
    notesWritten += notes;
    totalAppendTime = totalAppendTime.plus(took);
    slowestAppend = Durations.longer(slowestAppend, took);
  }

  private void onRead(SharedLog.ReadOutcome outcome) {
    reads++;
    if (outcome instanceof SharedLog.ReadOutcome.Records records) {
      notesRead += records.records().size();
    }
  }

  private final class MeteredLog implements SharedLog {
    private final SharedLog log;

    MeteredLog(SharedLog log) {
      this.log = log;
    }

    @Override
    public void append(
        long epoch, long sequence, List<KeyedRecord> records, Consumer<AppendOutcome> outcome) {
      Instant began = clock.instant();
      log.append(
          epoch,
          sequence,
          records,
          done -> {
            onAppend(records.size(), Duration.between(began, clock.instant()));
            outcome.accept(done);
          });
    }

    @Override
    public void read(long offset, Consumer<ReadOutcome> outcome) {
      log.read(offset, measured(outcome));
    }

    @Override
    public void readNewest(Consumer<ReadOutcome> outcome) {
      log.readNewest(measured(outcome));
    }

    private Consumer<ReadOutcome> measured(Consumer<ReadOutcome> outcome) {
      return done -> {
        onRead(done);
        outcome.accept(done);
      };
    }
  }
}
