package org.teaseldeal.core.system;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.teaseldeal.api.AttemptId;
import org.teaseldeal.api.IncarnationId;
import org.teaseldeal.core.CoreCounters;
import org.teaseldeal.core.Counter;
import org.teaseldeal.core.InstanceConfig;
import org.teaseldeal.core.InstanceLimits;
import org.teaseldeal.core.command.InstanceCommand;
import org.teaseldeal.core.table.Tables;
import org.teaseldeal.wire.gen.peer.Message;

/** State that all systems of one instance share. */
final class Context {
  /**
   * A longer gap between two clock readings counts as a suspension of this process. For the same
   * time after a suspension, the silence of peers and of the log means nothing.
   */
  private static final Duration SUSPENSION_THRESHOLD = Duration.ofSeconds(1);

  final InstanceConfig config;
  final RandomGenerator random;
  final CoreCounters counters = new CoreCounters();
  final Tables tables = new Tables();
  private final InstantSource clock;
  private List<InstanceCommand> commands = new ArrayList<>();
  private Instant now;
  private Instant resumedAt = Instant.EPOCH;
  private long lastRequest;
  private long lastAttempt;
  private long lastCharge;
  private long lastTransfer;

  /** Whether the instance has been asked to shut down. */
  boolean draining;

  Context(InstanceConfig config, InstantSource clock, RandomGenerator random) {
    this.config = config;
    this.clock = clock;
    this.random = random;
    this.now = clock.instant();
    this.lastTransfer = randomStartNumber();
  }

  /**
   * Returns a random start for numbers that come back in messages from peers.
   *
   * <p>A reply to the previous incarnation can reach this one at the same address. If both
   * incarnations used the same number, tokens that the previous one had already credited would be
   * credited again.
   */
  long randomStartNumber() {
    return random.nextLong(1L << 40, 1L << 61);
  }

  /**
   * Reads the clock once for the current event or tick. The time never runs backwards within an
   * instance.
   */
  void readClock() {
    Instant read = clock.instant();
    if (read.isAfter(now.plus(SUSPENSION_THRESHOLD))) {
      resumedAt = read;
    }
    now = read.isBefore(now) ? now : read;
  }

  /**
   * Returns whether this process was suspended until a moment ago.
   *
   * <p>Everything received before the suspension is then old, but fresh messages may still arrive.
   * A peer or the log needs some time to answer, and during that time its silence means nothing.
   */
  boolean justResumed() {
    return now.isBefore(resumedAt.plus(SUSPENSION_THRESHOLD));
  }

  /**
   * Returns whether a response that arrived at {@code contact} was certainly requested after the
   * last suspension.
   */
  boolean requestedSinceResume(Instant contact) {
    return contact.isAfter(resumedAt.plus(SUSPENSION_THRESHOLD));
  }

  Instant now() {
    return now;
  }

  InstanceLimits limits() {
    return config.limits();
  }

  IncarnationId self() {
    return config.incarnation();
  }

  void emit(InstanceCommand command) {
    commands.add(command);
  }

  void send(String address, Message message) {
    commands.add(new InstanceCommand.SendPeerMessage(address, message));
  }

  void count(Counter counter) {
    counters.increment(counter);
  }

  List<InstanceCommand> drainCommands() {
    List<InstanceCommand> drained = commands;
    commands = new ArrayList<>();
    return drained;
  }

  long nextRequest() {
    return ++lastRequest;
  }

  AttemptId nextAttempt() {
    return new AttemptId(self(), ++lastAttempt);
  }

  long nextCharge() {
    return ++lastCharge;
  }

  long nextTransfer() {
    return ++lastTransfer;
  }
}
