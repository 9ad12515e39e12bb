package org.teaseldeal.gateway.metrics;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.function.Consumer;
import org.teaseldeal.gateway.event.EventSink;
import org.teaseldeal.gateway.event.GatewayEvent;
import org.teaseldeal.gateway.log.KeyedRecord;
import org.teaseldeal.gateway.log.SharedLog;
import org.teaseldeal.gateway.peer.PeerPort;

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
  private Duration appending = Duration.ZERO;
  private Duration slowestAppend = Duration.ZERO;
  private long reads;
  private long notesHeard;
  private long messagesSent;
  private long octetsSent;
  private long messagesHeard;
  private long octetsHeard;
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

  /** A port that sends all messages through {@code port} and counts them. */
  public PeerPort meteredPort(PeerPort port) {
    return (address, message) -> {
      messagesSent++;
      octetsSent += message.length;
      port.send(address, message);
    };
  }

  /** A receiver that passes all messages to {@code receiver} and counts them. */
  public Consumer<byte[]> meteredReceiver(Consumer<byte[]> receiver) {
    return message -> {
      messagesHeard++;
      octetsHeard += message.length;
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
    longestStall = longer(longestStall, stall);
    Instant now = clock.instant();
    if (now.isBefore(periodEnd)) {
      return;
    }
    periodEnd = now.plus(PERIOD);
    Duration meanAppend = appends == 0 ? Duration.ZERO : appending.dividedBy(appends);
    events.accept(
        new GatewayEvent.FleetTraffic(
            appends,
            notesWritten,
            meanAppend,
            slowestAppend,
            reads,
            notesHeard,
            messagesSent,
            octetsSent,
            messagesHeard,
            octetsHeard,
            longestStall));
    reset();
  }

  private void reset() {
    appends = 0;
    notesWritten = 0;
    appending = Duration.ZERO;
    slowestAppend = Duration.ZERO;
    reads = 0;
    notesHeard = 0;
    messagesSent = 0;
    octetsSent = 0;
    messagesHeard = 0;
    octetsHeard = 0;
    longestStall = Duration.ZERO;
  }

  private void onAppend(int notes, Duration took) {
    appends++;
    notesWritten += notes;
    appending = appending.plus(took);
    slowestAppend = longer(slowestAppend, took);
  }

  private void onRead(SharedLog.ReadOutcome outcome) {
    reads++;
    if (outcome instanceof SharedLog.ReadOutcome.Records records) {
      notesHeard += records.records().size();
    }
  }

  private static Duration longer(Duration one, Duration other) {
    return one.compareTo(other) >= 0 ? one : other;
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
