package org.teaseldeal.gateway.log;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes this instance's notes in order, each once, and reads everybody's.
 *
 * <p>At its start it first takes a higher epoch. A process that ran before on the same machine may
 * have left an append that the log carries out seconds later; without the epoch that append would
 * replace the notes that this process writes, and tokens would be spent twice.
 *
 * <p>One batch is under way at a time. If its outcome is unknown the same bytes are sent again
 * under the same sequence number, which the log takes once, so no note is lost, doubled or out of
 * order.
 *
 * <p>A read follows an own append that something depends on; otherwise there is one at each idle
 * interval. While no participant needs the log, it isn't read at all.
 */
public final class FleetLog {
  private static final Logger LOG = LoggerFactory.getLogger(FleetLog.class);

  /** While a request waits for what others may give back. */
  private static final Duration URGENT_READ = Duration.ofMillis(100);

  /** First and longest pause after a failure: half an answer of a slow log, and half a second. */
  private static final Duration FIRST_PAUSE = Duration.ofMillis(40);

  private static final Duration LONGEST_PAUSE = Duration.ofMillis(500);

  /** How far the epoch goes on after one that was in use: more than clocks of restarts differ. */
  private static final long EPOCH_STEP = 60_000;

  /** Bounds memory whatever other writers do; beyond it nothing more is logged. */
  private static final int MOST_REMEMBERED = 1_000;

  private enum State {
    FENCING,
    LOADING,
    FOLLOWING,
    SUPERSEDED
  }

  private final SharedLog log;
  private final String instance;
  private final InstantSource clock;
  private final Duration idleRead;
  private final List<LogParticipant> participants;

  /** Keys whose newest record can't be read, each logged once. */
  private final Set<String> unreadable = new HashSet<>();

  private State state = State.FENCING;
  private long epoch;
  private long sequence;
  private boolean loadedOnce;
  private long position;

  /** Notes after this offset have been heard; those before it are not told twice. */
  private long heardTo = -1;

  private List<KeyedRecord> batch = List.of();
  private boolean calling;
  private boolean reading;
  private long readAtLeastTo;
  private Instant pauseUntil = Instant.MIN;
  private Duration pause = FIRST_PAUSE;
  private Instant nextRead = Instant.MIN;
  private boolean reloadDue;
  private boolean dormant;
  private @Nullable String trouble;

  /**
   * Creates the log of {@code instance}.
   *
   * @param epoch above that of any earlier process
   * @param idleRead how stale what is known of others may be without own writes
   */
  public FleetLog(
      SharedLog log,
      String instance,
      long epoch,
      InstantSource clock,
      Duration idleRead,
      List<LogParticipant> participants) {
    this.log = log;
    this.instance = instance;
    this.epoch = epoch;
    this.clock = clock;
    this.idleRead = idleRead;
    this.participants = List.copyOf(participants);
  }

  /** Whether all notes were read once. */
  public boolean ready() {
    return loadedOnce;
  }

  /** Whether another process has taken this one's place; nothing may be spent any more. */
  public boolean superseded() {
    return state == State.SUPERSEDED;
  }

  /** Whether the last call failed, so that waiting for the log may take long. */
  public boolean troubled() {
    return trouble != null;
  }

  /** Starts what is due. */
  public void tick() {
    Instant now = clock.instant();
    if (now.isBefore(pauseUntil)) {
      return;
    }
    switch (state) {
      case FENCING -> fence();
      case LOADING -> load();
      case FOLLOWING -> follow(now);
      case SUPERSEDED -> {}
    }
  }

  private void fence() {
    if (calling) {
      return;
    }
    calling = true;
    log.append(epoch, sequence, List.of(), this::fenced);
  }

  private void fenced(SharedLog.AppendOutcome outcome) {
    calling = false;
    switch (outcome) {
      case SharedLog.AppendOutcome.Appended appended -> {
        recovered();
        sequence++;
        state = State.LOADING;
        load();
      }
      case SharedLog.AppendOutcome.Superseded superseded -> epoch += EPOCH_STEP;
      case SharedLog.AppendOutcome.OutOfSequence other -> sequence = other.sequence();
      case SharedLog.AppendOutcome.Unknown unknown -> failed(unknown.detail());
    }
  }

  private void load() {
    if (reading) {
      return;
    }
    reading = true;
    log.readNewest(this::loaded);
  }

  private void loaded(SharedLog.ReadOutcome outcome) {
    reading = false;
    switch (outcome) {
      case SharedLog.ReadOutcome.Records records -> {
        recovered();
        position = records.next();
        heardTo = Math.max(heardTo, position - 1);
        List<SharedNote> notes = new ArrayList<>();
        for (PositionedRecord record : records.records()) {
          heardTo = Math.max(heardTo, record.offset());
          decode(record).ifPresent(notes::add);
        }
        participants.forEach(participant -> participant.onLoaded(notes, !loadedOnce));
        loadedOnce = true;
        state = State.FOLLOWING;
      }
      case SharedLog.ReadOutcome.Expired expired -> failed("newest records expired");
      case SharedLog.ReadOutcome.Failed failure -> failed(failure.detail());
    }
  }

  private void follow(Instant now) {
    if (rests()) {
      return;
    }
    if (reloadDue) {
      reloadOnceWritten(now);
      return;
    }
    if (!calling && readAtLeastTo <= position) {
      appendWhatIsDue(now);
    }
    if (!reading && (position < readAtLeastTo || !now.isBefore(nextRead))) {
      nextRead = now.plus(readInterval());
      reading = true;
      log.read(position, this::read);
    }
  }

  /**
   * Whether the log isn't read now.
   *
   * <p>Load pattern: an instance of a large fleet that depends on none of the notes hears those of
   * all others. They come in bursts that fill its link for a tenth of a second, and its callers'
   * requests wait behind them.
   */
  private boolean rests() {
    boolean needed = participants.stream().anyMatch(LogParticipant::needsLog);
    if (dormant && needed) {
      dormant = false;
      reloadDue = true;
      participants.forEach(LogParticipant::onLogNeededAgain);
    } else if (!dormant && !needed && !calling && !reading && batch.isEmpty()) {
      dormant = true;
      participants.forEach(LogParticipant::onLogResting);
    }
    return dormant;
  }

  /**
   * Reads the newest notes once no own batch is under way. A wish must not be decided before its
   * note is on the log: the others would not count it yet.
   */
  private void reloadOnceWritten(Instant now) {
    if (calling) {
      return;
    }
    if (!batch.isEmpty()) {
      appendWhatIsDue(now);
      return;
    }
    reloadDue = false;
    state = State.LOADING;
    load();
  }

  private void appendWhatIsDue(Instant now) {
    if (batch.isEmpty()) {
      batch =
          participants.stream()
              .flatMap(participant -> participant.notesToWrite(now).stream())
              .map(NoteCodec::encode)
              .toList();
    }
    if (!batch.isEmpty()) {
      calling = true;
      log.append(epoch, sequence, batch, this::appended);
    }
  }

  private void appended(SharedLog.AppendOutcome outcome) {
    calling = false;
    switch (outcome) {
      case SharedLog.AppendOutcome.Appended done -> {
        recovered();
        if (participants.stream().anyMatch(LogParticipant::awaitsOwnNote)) {
          readAtLeastTo = done.offset() + batch.size();
        }
        batch = List.of();
        sequence++;
        participants.forEach(LogParticipant::onWritten);
        tick();
      }
      case SharedLog.AppendOutcome.OutOfSequence other -> {
        LOG.warn("sequence was {}, the log expects {}", sequence, other.sequence());
        sequence = other.sequence();
      }
      case SharedLog.AppendOutcome.Superseded superseded -> {
        LOG.error("another process writes as {}; nothing is spent any more", instance);
        state = State.SUPERSEDED;
      }
      case SharedLog.AppendOutcome.Unknown unknown -> failed(unknown.detail());
    }
  }

  private void read(SharedLog.ReadOutcome outcome) {
    reading = false;
    switch (outcome) {
      case SharedLog.ReadOutcome.Records records -> {
        recovered();
        records.records().forEach(this::hear);
        position = Math.max(position, records.next());
        nextRead = clock.instant().plus(readInterval());
        tick();
      }
      case SharedLog.ReadOutcome.Expired expired -> {
        LOG.info("notes from offset {} on are not kept any more; reading the newest", position);
        reloadDue = true;
      }
      case SharedLog.ReadOutcome.Failed failure -> failed(failure.detail());
    }
  }

  private Duration readInterval() {
    boolean waiting = participants.stream().anyMatch(LogParticipant::waitsForOthers);
    return waiting ? URGENT_READ : idleRead;
  }

  private void hear(PositionedRecord record) {
    if (record.offset() <= heardTo) {
      return;
    }
    heardTo = record.offset();
    decode(record)
        .ifPresent(
            note -> {
              boolean own = note.instance().equals(instance);
              participants.forEach(participant -> participant.onNote(note, own));
            });
  }

  private Optional<SharedNote> decode(PositionedRecord record) {
    try {
      SharedNote note = NoteCodec.decode(record.record());
      unreadable.remove(record.record().key());
      return Optional.of(note);
    } catch (IllegalArgumentException e) {
      if (unreadable.size() < MOST_REMEMBERED && unreadable.add(record.record().key())) {
        LOG.warn("record at offset {} can't be read: {}", record.offset(), e.getMessage());
      }
      return NoteCodec.unreadable(record.record());
    }
  }

  private void failed(String detail) {
    if (trouble == null) {
      LOG.warn("the shared log is lost: {}", detail);
    }
    trouble = detail;
    pauseUntil = clock.instant().plus(pause);
    pause = pause.multipliedBy(2).compareTo(LONGEST_PAUSE) > 0 ? LONGEST_PAUSE : pause.plus(pause);
  }

  private void recovered() {
    if (trouble != null) {
      LOG.info("the shared log is back");
    }
    trouble = null;
    pause = FIRST_PAUSE;
    pauseUntil = Instant.MIN;
  }
}
