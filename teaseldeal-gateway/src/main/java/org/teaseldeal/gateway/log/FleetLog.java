package org.teaseldeal.gateway.log;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.teaseldeal.api.Durations;

/**
 * Writes this instance's notes to the shared log, in order and exactly once, and reads the notes of
 * all instances.
 *
 * <p>At its start it first claims a higher epoch (fencing). A previous process on the same machine
 * may have sent an append that the log executes seconds later; without the new epoch that append
 * would replace the notes of this process, and tokens would be spent twice.
 *
 * <p>Only one batch is in flight at a time. If its outcome is unknown, the same bytes are sent
 * again under the same sequence number, which the log accepts only once; so no note is lost,
 * duplicated or reordered.
 *
 * <p>An own append on which something depends is followed by a read; otherwise the log is read at
 * the idle interval. While no participant needs the log, it is not read at all.
 */
public final class FleetLog {
  private static final Logger LOG = LoggerFactory.getLogger(FleetLog.class);

  /** Read interval while a request waits for tokens that other instances may return. */
  private static final Duration URGENT_READ_INTERVAL = Duration.ofMillis(100);

  /**
   * Interval between checks for notes that nobody waits for, such as those that refill a lease:
   * short compared with the time in which a lease is used up.
   */
  private static final Duration WRITE_CHECK_INTERVAL = Duration.ofMillis(60);

  /** Back-off after the first failure: half of the answer time of a slow log. */
  private static final Duration INITIAL_BACKOFF = Duration.ofMillis(40);

  private static final Duration MAX_BACKOFF = Duration.ofMillis(500);

  /**
   * How far the epoch is advanced after finding one in use: by more than the clocks of two restarts
   * differ.
   */
  private static final long EPOCH_STEP_MS = 60_000;

  /**
   * Maximum number of remembered unreadable keys, which bounds the memory use whatever other
   * writers do; further unreadable records are not logged.
   */
  private static final int MAX_UNREADABLE_KEYS = 1_000;

  private enum State {
    FENCING,
    LOADING,
    TAILING,
    SUPERSEDED
  }

  private final SharedLog log;
  private final String instance;
  private final InstantSource clock;
  private final Duration idleReadInterval;
  private final List<LogParticipant> participants;

  /** Keys whose newest record can't be read, each of which is logged once. */
  private final Set<String> unreadableKeys = new HashSet<>();

  private State state = State.FENCING;
  private long epoch;
  private long sequence;
  private boolean loadedOnce;
  private long position;

  /** Offset of the last processed record; records up to it are not delivered again. */
  private long processedOffset = -1;

  private List<KeyedRecord> batch = List.of();
  private boolean appending;
  private boolean reading;
  private long requiredPosition;
  private Instant backoffUntil = Instant.MIN;
  private Duration backoff = INITIAL_BACKOFF;
  private Instant nextRead = Instant.MIN;

  /**
   * When notes may be written again after one under this instance's name could not be read. It is
   * written again, and would be without a pause if the fault is this instance's own.
   */
  private Instant rewriteAt = Instant.MIN;

  /** The next pause by the key of the note that can't be read. */
  private final Map<String, Duration> rewriteBackoffs = new HashMap<>();

  private boolean reloadDue;
  private boolean readingPaused;
  private @Nullable String failureDetail;

  /**
   * Creates the log access of {@code instance}.
   *
   * @param log the shared log
   * @param instance name of this instance
   * @param epoch higher than that of any previous process
   * @param idleReadInterval longest staleness of the known notes while this instance writes none
   * @param participants components that write and receive notes
   */
  public FleetLog(
      SharedLog log,
      String instance,
      long epoch,
      InstantSource clock,
      Duration idleReadInterval,
      List<LogParticipant> participants) {
    this.log = log;
    this.instance = instance;
    this.epoch = epoch;
    this.clock = clock;
    this.idleReadInterval = idleReadInterval;
    this.participants = List.copyOf(participants);
  }

  /** Returns whether all notes have been loaded at least once. */
  public boolean ready() {
    return loadedOnce;
  }

  /** Returns whether another process has replaced this one; no tokens may be spent any more. */
  public boolean superseded() {
    return state == State.SUPERSEDED;
  }

  /** Returns whether the last call failed, so that waiting for the log may take long. */
  public boolean failing() {
    return failureDetail != null;
  }

  /**
   * Returns when {@link #tick} is due again: soon while a note or a call is likely to be due soon,
   * and otherwise when the log is to be read, or when a participant may have a note to write.
   */
  public Instant dueAt() {
    Instant now = clock.instant();
    if (now.isBefore(backoffUntil)) {
      return backoffUntil;
    }
    if (state == State.SUPERSEDED) {
      return Instant.MAX;
    }
    boolean urgent =
        state != State.TAILING
            || reloadDue
            || !batch.isEmpty()
            || position < requiredPosition
            || anyParticipant(LogParticipant::awaitsPeerNotes);
    if (urgent) {
      return Instant.MIN;
    }
    Instant nextWrite = now.plus(WRITE_CHECK_INTERVAL);
    boolean readFirst = !reading && !readingPaused && nextRead.isBefore(nextWrite);
    return readFirst ? nextRead : nextWrite;
  }

  private boolean anyParticipant(Predicate<LogParticipant> condition) {
    for (LogParticipant participant : participants) {
      if (condition.test(participant)) {
        return true;
      }
    }
    return false;
  }

  /** Starts the calls that are due. */
  public void tick() {
    Instant now = clock.instant();
    if (now.isBefore(backoffUntil)) {
      return;
    }
    switch (state) {
      case FENCING -> fence();
      case LOADING -> load();
      case TAILING -> follow(now);
      case SUPERSEDED -> {}
    }
  }

  private void fence() {
    if (appending) {
      return;
    }
    appending = true;
    log.append(epoch, sequence, List.of(), this::onFenceOutcome);
  }

  private void onFenceOutcome(SharedLog.AppendOutcome outcome) {
    appending = false;
    switch (outcome) {
      case SharedLog.AppendOutcome.Appended appended -> {
        recordSuccess();
        sequence++;
        state = State.LOADING;
        load();
      }
      case SharedLog.AppendOutcome.Superseded superseded -> epoch += EPOCH_STEP_MS;
      case SharedLog.AppendOutcome.OutOfSequence other -> sequence = other.sequence();
      case SharedLog.AppendOutcome.Unknown unknown -> recordFailure(unknown.detail());
    }
  }

  private void load() {
    if (reading) {
      return;
    }
    reading = true;
    log.readNewest(this::onLoadOutcome);
  }

  private void onLoadOutcome(SharedLog.ReadOutcome outcome) {
    reading = false;
    switch (outcome) {
      case SharedLog.ReadOutcome.Records records -> {
        recordSuccess();
        position = records.next();
        processedOffset = Math.max(processedOffset, position - 1);
        List<SharedNote> notes = new ArrayList<>();
        for (PositionedRecord record : inLogOrder(records.records())) {
          processedOffset = Math.max(processedOffset, record.offset());
          decode(record).ifPresent(notes::add);
        }
        participants.forEach(participant -> participant.onLoaded(notes, !loadedOnce));
        loadedOnce = true;
        state = State.TAILING;
      }
      case SharedLog.ReadOutcome.Expired expired -> recordFailure("newest records expired");
      case SharedLog.ReadOutcome.Failed failure -> recordFailure(failure.detail());
    }
  }

  private static List<PositionedRecord> inLogOrder(List<PositionedRecord> records) {
    return records.stream().sorted(Comparator.comparingLong(PositionedRecord::offset)).toList();
  }

  private void follow(Instant now) {
    if (readingPaused()) {
      return;
    }
    if (reloadDue) {
      reloadAfterPendingAppend(now);
      return;
    }
    if (!appending && requiredPosition <= position && !now.isBefore(rewriteAt)) {
      appendDueNotes(now);
    }
    if (!reading && (position < requiredPosition || !now.isBefore(nextRead))) {
      nextRead = now.plus(readInterval());
      reading = true;
      log.read(position, this::onReadOutcome);
    }
  }

  /**
   * Returns whether reading is paused because no participant needs the log.
   *
   * <p>An instance of a large fleet that depends on no notes would still receive those of all
   * others. They arrive in bursts that saturate its network link for a tenth of a second, and its
   * callers' requests are delayed behind them.
   */
  private boolean readingPaused() {
    boolean needed = anyParticipant(LogParticipant::needsLog);
    if (readingPaused && needed) {
      readingPaused = false;
      reloadDue = true;
      participants.forEach(LogParticipant::onLogReadingResumed);
    } else if (!readingPaused && !needed && !appending && !reading && batch.isEmpty()) {
      readingPaused = true;
      participants.forEach(LogParticipant::onLogReadingPaused);
    }
    return readingPaused;
  }

  /**
   * Loads the newest notes as soon as no own batch is in flight. A claim must not be decided before
   * its note is on the log, because the other instances would not count it yet.
   */
  private void reloadAfterPendingAppend(Instant now) {
    if (appending) {
      return;
    }
    if (!batch.isEmpty()) {
      appendDueNotes(now);
      return;
    }
    reloadDue = false;
    state = State.LOADING;
    load();
  }

  private void appendDueNotes(Instant now) {
    if (batch.isEmpty()) {
      batch = encodeDueNotes(now);
    }
    if (!batch.isEmpty()) {
      appending = true;
      log.append(epoch, sequence, batch, this::onAppendOutcome);
    }
  }

  private List<KeyedRecord> encodeDueNotes(Instant now) {
    List<KeyedRecord> records = new ArrayList<>();
    for (LogParticipant participant : participants) {
      for (SharedNote note : participant.notesToWrite(now)) {
        encode(note).ifPresent(records::add);
      }
    }
    return List.copyOf(records);
  }

  /** Encodes a note. One that can't be encoded must not keep the others from being written. */
  private static Optional<KeyedRecord> encode(SharedNote note) {
    try {
      return Optional.of(NoteCodec.encode(note));
    } catch (IllegalArgumentException e) {
      LOG.error("a note can't be written: {}", e.getMessage());
      return Optional.empty();
    }
  }

  private void onAppendOutcome(SharedLog.AppendOutcome outcome) {
    appending = false;
    switch (outcome) {
      case SharedLog.AppendOutcome.Appended appended -> {
        recordSuccess();
        if (anyParticipant(LogParticipant::awaitsOwnNote)) {
          requiredPosition = appended.offset() + batch.size();
        }
        batch = List.of();
        sequence++;
        participants.forEach(LogParticipant::onWritten);
        tick();
      }
      case SharedLog.AppendOutcome.OutOfSequence other -> {
        LOG.warn(
            "sequence number {} was out of order; continuing with {} as expected by the shared log",
            sequence,
            other.sequence());
        sequence = other.sequence();
      }
      case SharedLog.AppendOutcome.Superseded superseded -> {
        LOG.error(
            "another process writes as instance {}; this process spends no more tokens", instance);
        state = State.SUPERSEDED;
      }
      case SharedLog.AppendOutcome.Unknown unknown -> recordFailure(unknown.detail());
    }
  }

  private void onReadOutcome(SharedLog.ReadOutcome outcome) {
    reading = false;
    switch (outcome) {
      case SharedLog.ReadOutcome.Records records -> {
        recordSuccess();
        records.records().forEach(this::deliver);
        position = Math.max(position, records.next());
        nextRead = clock.instant().plus(readInterval());
        tick();
      }
      case SharedLog.ReadOutcome.Expired expired -> {
        LOG.info(
            "notes from offset {} on are no longer retained; reloading the newest notes", position);
        reloadDue = true;
      }
      case SharedLog.ReadOutcome.Failed failure -> recordFailure(failure.detail());
    }
  }

  private Duration readInterval() {
    boolean waiting = anyParticipant(LogParticipant::awaitsPeerNotes);
    return waiting ? URGENT_READ_INTERVAL : idleReadInterval;
  }

  private void deliver(PositionedRecord record) {
    if (record.offset() <= processedOffset) {
      return;
    }
    processedOffset = record.offset();
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
      unreadableKeys.remove(record.record().key());
      rewriteBackoffs.remove(record.record().key());
      return Optional.of(note);
    } catch (IllegalArgumentException e) {
      if (isOwnNote(record.record(), instance)) {
        postponeRewriting(record.record().key());
      }
      if (unreadableKeys.size() < MAX_UNREADABLE_KEYS
          && unreadableKeys.add(record.record().key())) {
        LOG.warn("record at offset {} can't be decoded: {}", record.offset(), e.getMessage());
      }
      return NoteCodec.placeholder(record.record());
    }
  }

  private static boolean isOwnNote(KeyedRecord record, String instance) {
    try {
      return NoteKey.parse(record.key()).instance().equals(instance);
    } catch (IllegalArgumentException e) {
      return false;
    }
  }

  /**
   * Pauses before the next notes, unless a pause is under way: foreign writers must not extend it.
   */
  private void postponeRewriting(String key) {
    Instant now = clock.instant();
    if (now.isBefore(rewriteAt)) {
      return;
    }
    Duration pause = rewriteBackoffs.getOrDefault(key, INITIAL_BACKOFF);
    rewriteAt = now.plus(pause);
    if (rewriteBackoffs.size() < MAX_UNREADABLE_KEYS) {
      rewriteBackoffs.put(key, doubled(pause));
    }
  }

  private void recordFailure(String detail) {
    if (failureDetail == null) {
      LOG.warn("shared log unavailable; retrying with back-off: {}", detail);
    }
    failureDetail = detail;
    backoffUntil = clock.instant().plus(backoff);
    backoff = doubled(backoff);
  }

  private static Duration doubled(Duration pause) {
    return Durations.shorter(Durations.times(pause, 2), MAX_BACKOFF);
  }

  private void recordSuccess() {
    if (failureDetail != null) {
      LOG.info("shared log available again");
    }
    failureDetail = null;
    backoff = INITIAL_BACKOFF;
    backoffUntil = Instant.MIN;
  }
}
