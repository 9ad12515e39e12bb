package org.teaseldeal.gateway.account;

import java.time.Duration;
import java.util.Optional;
import org.teaseldeal.decisions.IdleTokenRelease;
import org.teaseldeal.gateway.event.GatewayEvent;
import org.teaseldeal.gateway.log.SharedNote;

/**
 * What a previous process on this machine left of a customer's total, according to its last note.
 *
 * @param note the last note of the previous process
 * @param proof the evidence for {@code since}
 * @param elapsed upper bound of the time for which the previous process can have run after its last
 *     note; empty if unknown
 */
record Takeover(SharedNote.Account note, Proof proof, Optional<Duration> elapsed) {
  /** The evidence for the age of the last note of a previous process. */
  enum Proof {
    /** The machine kept running, so its monotonic clock measures the age. */
    STEADY_CLOCK,
    /**
     * The machine lost power; its wall clock and the heartbeats of backend servers agree on the
     * age.
     */
    TIME_OF_DAY,
    NONE
  }

  /**
   * Takes over from a previous process.
   *
   * @param clocksAtStart clocks at the start of this process, when the previous process had already
   *     ended
   */
  static Takeover of(SharedNote.Account note, ClockReading clocksAtStart) {
    Optional<Duration> since = clocksAtStart.since(clocksAtNote(note));
    return new Takeover(note, since.isPresent() ? Proof.STEADY_CLOCK : Proof.NONE, since);
  }

  /**
   * Returns this takeover with the evidence of heartbeats added; they prove the age of the note if
   * the machine lost power.
   *
   * @param clocksAtStart clocks at the start of this process
   * @param counted clocks when {@code heartbeats} was counted
   * @param heartbeats the current count of heartbeats
   */
  Takeover withHeartbeats(
      ClockReading clocksAtStart, ClockReading counted, HeartbeatCount heartbeats) {
    if (elapsed.isPresent() || note.heartbeats() == SharedNote.Account.UNCOUNTED) {
      return this;
    }
    Optional<Duration> byTimeOfDay =
        clocksAtStart.sinceByWallClock(clocksAtNote(note), note.heartbeats(), counted, heartbeats);
    return byTimeOfDay.isPresent() ? new Takeover(note, Proof.TIME_OF_DAY, byTimeOfDay) : this;
  }

  private static ClockReading clocksAtNote(SharedNote.Account note) {
    return new ClockReading(note.steadyNanos(), note.wallMillis());
  }

  /**
   * Returns the tokens that were reserved for running requests, each at its largest possible use.
   */
  long reserved() {
    return note.held() - note.idle();
  }

  /**
   * Returns the idle tokens that the previous process may have used without writing another note.
   */
  long released() {
    long delayed = note.idle() + note.claimed() - note.immediate();
    IdleTokenRelease release = new IdleTokenRelease(delayed, note.releasedPerSecond());
    return elapsed.map(release::released).orElse(delayed);
  }

  /**
   * Returns the tokens that have to be written off because it is unknown whether they were used.
   */
  long writtenOff() {
    return reserved() + note.immediate() + released();
  }

  GatewayEvent event() {
    return new GatewayEvent.AccountTakenOver(
        note.customer(),
        note.spent(),
        reserved(),
        note.immediate(),
        released(),
        note.held() + note.claimed() - writtenOff(),
        proof.name(),
        elapsed.orElse(Duration.ZERO));
  }
}
