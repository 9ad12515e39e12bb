package org.teaseldeal.gateway.account;

import static java.util.stream.Collectors.toUnmodifiableSet;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.teaseldeal.api.Problem;
import org.teaseldeal.gateway.event.GatewayEvent;
import org.teaseldeal.gateway.fake.FakeSharedLog;
import org.teaseldeal.gateway.fake.ManualClock;
import org.teaseldeal.gateway.log.FleetLog;
import org.teaseldeal.gateway.log.KeyedRecord;

/**
 * A fleet of instances that share one customer's total through a log in memory, in virtual time.
 */
final class AccountFleet {
  static final String CUSTOMER = "trawler";

  private static final Duration STEP = Duration.ofMillis(10);
  private static final Duration IDLE_READ_INTERVAL = Duration.ofMillis(300);
  static final Duration CALLER_TIMEOUT = Duration.ofMillis(3200);
  private static final Duration DEADLINE = Duration.ofSeconds(15);

  final ManualClock clock = new ManualClock();
  final FakeSharedLog log = new FakeSharedLog();
  final List<Instance> instances = new ArrayList<>();
  long total;

  /** Whether the configuration has the customer and its total. */
  boolean totalKnown = true;

  private final Set<String> names;
  private long steadyClockOffsetNanos;
  private long wallClockOffsetMillis;
  private long lastEpoch;

  AccountFleet(int size, long total) {
    this.total = total;
    names = IntStream.range(0, size).mapToObj(i -> "instance-" + i).collect(toUnmodifiableSet());
    for (int i = 0; i < size; i++) {
      instances.add(new Instance("instance-" + i));
    }
    run(Duration.ofSeconds(2));
  }

  Instance instance(int index) {
    return instances.get(index);
  }

  void run(Duration time) {
    for (long passed = 0; passed < time.toMillis(); passed += STEP.toMillis()) {
      clock.advance(STEP);
      log.applyRound();
      instances.forEach(Instance::step);
    }
  }

  void setBehaviours(FakeSharedLog.Behaviour behaviour) {
    instances.forEach(instance -> instance.port.behaviour(behaviour));
  }

  /** Simulates a loss of power of all machines; their monotonic clocks start anew. */
  void powerLoss(Duration down) {
    powerLoss(instances.size(), down);
  }

  /** Simulates a loss of power of the first {@code count} machines. */
  void powerLoss(int count, Duration down) {
    steadyClockOffsetNanos += 1_000_000_000_000L;
    kill(count, down);
  }

  /** Kills all processes and restarts them after {@code down}. */
  void kill(Duration down) {
    kill(instances.size(), down);
  }

  private void kill(int count, Duration down) {
    for (int i = 0; i < count; i++) {
      instances.get(i).alive = false;
    }
    run(down);
    for (int i = 0; i < count; i++) {
      instances.set(i, new Instance(instances.get(i).name));
    }
    run(Duration.ofSeconds(2));
  }

  /** Returns the tokens that requests were granted and have used or may still use. */
  long givenTokens() {
    return givenTokens;
  }

  private long givenTokens;

  /** Writes {@code value} under the key of an instance's note, as a foreign writer. */
  void overwriteNote(int index, byte[] value) {
    overwriteNote(index, CUSTOMER, value);
  }

  /** Writes {@code value} under the key of an instance's note about a customer. */
  void overwriteNote(int index, String customerInKey, byte[] value) {
    KeyedRecord record =
        new KeyedRecord("account|%s|%s".formatted(instance(index).name, customerInKey), value);
    log.port("stranger").append(0, foreignSequence++, List.of(record), outcome -> {});
  }

  private long foreignSequence;

  /** The state of the network between instances. */
  enum Peers {
    REACHABLE,
    UNREACHABLE,
    /** Requests arrive and are executed, but their answers are lost. */
    ANSWERS_LOST
  }

  Peers peers = Peers.REACHABLE;

  /** The takeovers from previous processes. */
  final List<GatewayEvent.AccountTakenOver> takeovers = new ArrayList<>();

  private void onEvent(GatewayEvent event) {
    if (event instanceof GatewayEvent.AccountTakenOver takeover) {
      takeovers.add(takeover);
    }
  }

  private void draw(String name, String customer, long tokens, Consumer<OptionalLong> given) {
    Optional<Instance> peer =
        instances.stream().filter(each -> each.name.equals(name) && each.alive).findFirst();
    if (peer.isEmpty() || peers == Peers.UNREACHABLE) {
      given.accept(OptionalLong.empty());
      return;
    }
    long tokensGiven = peer.get().accounts.giveToPeer(customer, tokens);
    given.accept(peers == Peers.ANSWERS_LOST ? OptionalLong.empty() : OptionalLong.of(tokensGiven));
  }

  /** Delivers requests and answers without delay; a holder answers as soon as it has the tokens. */
  private final class FakeHolderPort implements HolderPort {
    @Override
    public void request(String holder, Request request, Consumer<Answer> answer) {
      Optional<Instance> peer = reachable(holder);
      if (peer.isEmpty()) {
        answer.accept(new Answer.Unreachable("down"));
        return;
      }
      new HolderService(peer.get().accounts, clock)
          .answer(request, given -> answer.accept(afterTransport(given)));
    }

    private Answer afterTransport(Answer given) {
      boolean lost = peers == Peers.ANSWERS_LOST && given instanceof Answer.Granted;
      return lost ? new Answer.Unreachable("no answer") : given;
    }

    @Override
    public void returnTokens(String holder, String customer, long tokens) {
      reachable(holder).ifPresent(each -> each.accounts.takeBackUnused(customer, tokens));
    }

    private Optional<Instance> reachable(String name) {
      return instances.stream()
          .filter(each -> each.name.equals(name) && each.alive && peers != Peers.UNREACHABLE)
          .findFirst();
    }
  }

  /** Ends one process abruptly, as by a kill. */
  void stop(int index) {
    instance(index).alive = false;
  }

  /** Starts a new process under the same instance name. */
  void restart(int index) {
    instances.set(index, new Instance(instance(index).name));
  }

  private ClockReading machineClock() {
    return new ClockReading(
        clock.instant().toEpochMilli() * 1_000_000 + steadyClockOffsetNanos,
        clock.instant().toEpochMilli() + wallClockOffsetMillis);
  }

  /** Returns the heartbeats of 20 servers, each of which sends one per second. */
  private HeartbeatCount heartbeats() {
    return new HeartbeatCount(clock.instant().toEpochMilli() / 50, 20);
  }

  /** Steps the wall clocks of all machines forward, or back if {@code step} is negative. */
  void stepWallClock(Duration step) {
    wallClockOffsetMillis += step.toMillis();
  }

  final class Instance {
    final String name;
    final FakeSharedLog.Port port;
    final PrepaidAccounts accounts;
    final FleetLog fleetLog;
    final TokenRequests requests;
    final TokenDraws draws;
    final List<Reservation> reserved = new ArrayList<>();
    int grantedRequests;
    final List<Duration> waitingTimes = new ArrayList<>();
    final List<Problem> refusals = new ArrayList<>();
    boolean alive = true;

    Instance(String name) {
      this.name = name;
      this.port = log.port(name);
      TokenHolders holders = new TokenHolders(name, () -> names);
      this.accounts =
          new PrepaidAccounts(
              name,
              customer -> totalKnown ? OptionalLong.of(total) : OptionalLong.empty(),
              holders,
              AccountFleet.this::onEvent,
              clock,
              machineClock(),
              AccountFleet.this::machineClock,
              () -> Optional.of(heartbeats()));
      this.fleetLog =
          new FleetLog(port, name, ++lastEpoch, clock, IDLE_READ_INTERVAL, List.of(accounts));
      this.requests =
          new TokenRequests(
              accounts, holders, new FakeHolderPort(), () -> true, event -> {}, clock);
      this.draws =
          new TokenDraws(accounts, AccountFleet.this::draw, event -> {}, clock, new Random(1));
    }

    void request(long tokens) {
      request(CUSTOMER, tokens);
    }

    void request(String customer, long tokens) {
      Instant began = clock.instant();
      requests.reserve(
          customer,
          tokens,
          clock.instant().plus(CALLER_TIMEOUT),
          clock.instant().plus(DEADLINE),
          new ReservationListener() {
            @Override
            public void onReserved(Reservation reservation) {
              grantedRequests++;
              waitingTimes.add(Duration.between(began, clock.instant()));
              reserved.add(reservation);
              givenTokens += reservation.tokens();
            }

            @Override
            public void onRefused(Problem problem) {
              refusals.add(problem);
            }
          });
    }

    /** Settles the oldest reservation, of which {@code used} tokens were used. */
    void settle(long used) {
      Reservation oldest = reserved.removeFirst();
      givenTokens -= oldest.tokens() - used;
      accounts.settle(oldest, used);
    }

    void step() {
      if (!alive) {
        return;
      }
      port.answerCalls();
      fleetLog.tick();
      accounts.onLogReachable(!fleetLog.failing());
      accounts.tick();
      requests.tick();
      draws.tick();
    }
  }
}
