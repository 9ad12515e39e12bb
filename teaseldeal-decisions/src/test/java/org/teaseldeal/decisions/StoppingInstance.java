package org.teaseldeal.decisions;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import org.jspecify.annotations.Nullable;
import org.teaseldeal.decisions.DrainPhases.Left;
import org.teaseldeal.decisions.DrainPhases.Phase;

/** A fake of an instance that stops, with callers and servers, in virtual time from a seed. */
final class StoppingInstance {
  private static final Duration STEP = Duration.ofMillis(20);
  private static final int REQUESTS = 40;
  private static final Instant BEGAN = Instant.EPOCH;

  /** How a request ended. */
  enum Outcome {
    ANSWERED,
    /** Told that it has not run. */
    REFUSED,
    BROKEN_OFF
  }

  /** A caller's request; mutable, as it goes through the instance. */
  static final class Request {
    final Instant read;
    final Instant deadline;
    final Duration waitsForTokens;
    final Duration runs;
    final Duration leaves;
    @Nullable Outcome outcome;
    @Nullable Phase takenIn;
    Instant left = Instant.MAX;

    Request(Random random, Duration grace) {
      read = BEGAN.plusMillis(random.nextLong(grace.toMillis()));
      Duration body = Duration.ofMillis(random.nextInt(10) == 0 ? random.nextInt(3_000) : 0);
      deadline = read.minus(body).plusMillis(100 + random.nextInt(15_000));
      boolean never = random.nextInt(12) == 0;
      waitsForTokens = never ? Duration.ofDays(1) : Duration.ofMillis(random.nextInt(400));
      runs = Duration.ofMillis(20 + random.nextInt(random.nextBoolean() ? 500 : 6_000));
      leaves = Duration.ofMillis(random.nextInt(30));
    }

    Instant sent() {
      return read.plus(waitsForTokens);
    }

    boolean waitsAt(Instant now) {
      return outcome == null && now.isBefore(sent());
    }

    @Override
    public String toString() {
      return "read %s, deadline %s, runs %s, taken in %s".formatted(read, deadline, runs, takenIn);
    }
  }

  private final Duration grace;
  private final DrainPhases phases;
  private final List<Request> coming = new ArrayList<>();
  private final List<Request> taken = new ArrayList<>();
  private final List<Request> takenAfterRefusing = new ArrayList<>();
  private final Instant freezesAt;
  private final Duration freeze;
  private final Duration tokensReturnedAfter;
  private final boolean stepsFirst;
  private Phase phase = Phase.ACCEPTING;
  private Instant now = BEGAN;
  private Instant ended = Instant.MAX;
  private int refusedWaiting;

  StoppingInstance(long seed) {
    Random random = new Random(seed);
    grace = Duration.ofMillis(1_000 + random.nextInt(9_000));
    phases = new DrainPhases(BEGAN, grace);
    for (int i = 0; i < REQUESTS; i++) {
      coming.add(new Request(random, grace));
    }
    coming.sort(Comparator.comparing(request -> request.read));
    boolean freezes = random.nextInt(4) == 0;
    freezesAt = BEGAN.plusMillis(random.nextLong(grace.toMillis()));
    freeze = freezes ? Duration.ofMillis(random.nextLong(grace.toMillis() / 2)) : Duration.ZERO;
    tokensReturnedAfter = Duration.ofMillis(random.nextInt(10_000));
    stepsFirst = random.nextBoolean();
  }

  void run() {
    boolean thawed = freeze.isZero();
    while (phase != Phase.DONE) {
      now = now.plus(STEP);
      if (!thawed && !now.isBefore(freezesAt)) {
        now = now.plus(freeze);
        thawed = true;
      }
      // A round of the event loop begins with the servers' answers that have come; after them, it
      // takes requests and goes on to the next phase, in either order.
      taken.stream().filter(request -> request.outcome == null).forEach(this::goOn);
      if (stepsFirst) {
        step();
      }
      takeRequests();
      if (!stepsFirst) {
        step();
      }
    }
    ended = now;
  }

  private void step() {
    if (phase == Phase.DONE) {
      return;
    }
    Phase before = phase;
    boolean returned = !now.isBefore(BEGAN.plus(tokensReturnedAfter));
    phase = phases.next(now, new Left(unanswered().size(), returned));
    if (phase == Phase.REFUSING) {
      refuseWaiting();
    }
    if (phase == Phase.BREAKING_OFF && before != phase) {
      taken.stream().filter(request -> request.outcome == null).forEach(this::breakOff);
    }
  }

  private void takeRequests() {
    while (!coming.isEmpty() && !coming.getFirst().read.isAfter(now) && reads()) {
      arrive(coming.removeFirst());
    }
  }

  private boolean reads() {
    return phase.compareTo(Phase.LEAVING) < 0;
  }

  private void arrive(Request request) {
    boolean refuses = phase.compareTo(Phase.REFUSING) >= 0;
    taken.add(request);
    request.takenIn = phase;
    if (refuses || !phases.admission().admits(now, request.deadline, Duration.ZERO)) {
      end(request, Outcome.REFUSED);
    } else if (phase.compareTo(Phase.SHORT_ONLY) > 0) {
      takenAfterRefusing.add(request);
    }
  }

  private void goOn(Request request) {
    boolean expired = !now.isBefore(request.deadline);
    if (request.waitsAt(now) && expired) {
      end(request, Outcome.REFUSED);
    } else if (expired || !now.isBefore(request.sent().plus(request.runs))) {
      end(request, Outcome.ANSWERED);
    }
  }

  private void refuseWaiting() {
    for (Request request : taken) {
      if (request.waitsAt(now)) {
        end(request, Outcome.REFUSED);
        refusedWaiting++;
      }
    }
  }

  private void breakOff(Request request) {
    end(request, Outcome.BROKEN_OFF);
  }

  private void end(Request request, Outcome outcome) {
    request.outcome = outcome;
    request.left = now.plus(request.leaves);
  }

  /** Requests that were read and whose answers haven't left. */
  List<Request> unanswered() {
    return taken.stream().filter(request -> request.left.isAfter(now)).toList();
  }

  List<Request> takenAfterRefusing() {
    return takenAfterRefusing;
  }

  List<Request> brokenOff() {
    return taken.stream().filter(request -> request.outcome == Outcome.BROKEN_OFF).toList();
  }

  /** Whether the grace left no time for the run, whatever the instance did after it took it. */
  boolean hadNoTime(Request request) {
    Instant ends = phases.admission().ends();
    boolean tooLong = request.sent().plus(request.runs).isAfter(ends);
    boolean early = request.read.isBefore(phases.admission().noticed());
    return (tooLong && early) || (frozen() && !freezesAt.plus(freeze).isBefore(ends));
  }

  boolean endedBeforeKill() {
    Instant killed = BEGAN.plus(grace);
    return ended.isBefore(killed) || frozen();
  }

  boolean frozen() {
    return !freeze.isZero();
  }

  int refusedWaiting() {
    return refusedWaiting;
  }
}
