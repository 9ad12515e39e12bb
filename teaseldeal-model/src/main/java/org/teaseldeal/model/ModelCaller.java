package org.teaseldeal.model;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.teaseldeal.gateway.flow.Resumption;

/** A caller with one request, which is sent a second time if the first attempt isn't served. */
final class ModelCaller {
  /** The outcome of a request, from best to worst. */
  enum Outcome {
    IN_TIME,
    LATE,
    REFUSED,
    FAILED
  }

  /** Network delay in one direction between callers and instances. */
  private static final Duration ONE_WAY_DELAY = Duration.ofMillis(3);

  /** Time until a caller retries if the answer doesn't name a time. */
  private static final Duration DEFAULT_RETRY_DELAY = Duration.ofMillis(200);

  /** How long before a request's deadline its instance may end it. */
  private static final Duration DEADLINE_TOLERANCE = Duration.ofMillis(20);

  private static final int FIRST_SERVER_ERROR = 500;
  private static final int OK = 200;
  private static final int NOT_FOUND = 404;

  private final ModelFleet fleet;
  private final VirtualTime time;
  private final ModelRequest request;
  private final long sentAtNanos;
  private final Set<String> versions = new TreeSet<>();
  private String firstAttempt = "";
  private int events;
  private long firstPartAtNanos = -1;
  private long lastPartAtNanos;
  private long longestPauseNanos;
  private int attempts;
  private boolean completed;

  ModelCaller(ModelFleet fleet, ModelRequest request) {
    this.fleet = fleet;
    this.time = fleet.time();
    this.request = request;
    this.sentAtNanos = time.elapsedNanos();
  }

  void send() {
    attempts++;
    time.schedule(ONE_WAY_DELAY, this::reachInstance);
  }

  private void reachInstance() {
    Optional<ModelInstance> instance = fleet.randomReadyInstance();
    Duration timeLeft = Duration.ofNanos(timeLeftNanos());
    if (instance.isEmpty() || timeLeft.isNegative() || timeLeft.isZero()) {
      retryOrComplete(DEFAULT_RETRY_DELAY, Outcome.FAILED);
      return;
    }
    Attempt attempt = new Attempt(instance.get().name());
    String id = request.number() + "-" + attempts;
    if (events == 0) {
      firstAttempt = id;
    }
    ModelExchange exchange = new ModelExchange(id, request, timeLeft, takeUp(), attempt);
    fleet.registerAttempt(id, request);
    time.schedule(
        timeLeft,
        () -> {
          if (!completed) {
            exchange.closeByCaller();
            complete(Outcome.FAILED);
          }
        });
    instance.get().accept(exchange);
  }

  private long timeLeftNanos() {
    return request.kind().deadline().toNanos() - (time.elapsedNanos() - sentAtNanos);
  }

  /** Returns the statement with which a stream is taken up of which events have arrived. */
  private Optional<Resumption> takeUp() {
    return events == 0
        ? Optional.empty()
        : Resumption.of(Optional.of(String.valueOf(events)), Optional.of(firstAttempt));
  }

  private void recordPart() {
    long now = time.elapsedNanos();
    if (firstPartAtNanos < 0) {
      firstPartAtNanos = now;
    } else {
      longestPauseNanos = Math.max(longestPauseNanos, now - lastPartAtNanos);
    }
    lastPartAtNanos = now;
  }

  private void retryOrComplete(Duration delay, Outcome finalOutcome) {
    boolean inTime =
        time.elapsedNanos() - sentAtNanos + delay.toNanos() < request.kind().deadline().toNanos();
    if (attempts < 2 && inTime) {
      time.schedule(delay, this::send);
    } else {
      complete(finalOutcome);
    }
  }

  private void complete(Outcome outcome) {
    if (!completed) {
      completed = true;
      fleet.streamCheck().onStreamEnded(request.number(), versions);
      fleet.onRequestCompleted(request, outcome);
    }
  }

  private final class Attempt implements ModelExchange.ResponseListener {
    private final String instance;
    private final boolean takesUp = events > 0;

    Attempt(String instance) {
      this.instance = instance;
    }

    @Override
    public void onResponse(int status, Map<String, String> headers) {
      if (status == OK) {
        recordPart();
        onEnd();
        return;
      }
      recordAttempt(false);
      if (status == NOT_FOUND || !headers.containsKey(ModelDialect.RETRY_AFTER_HEADER)) {
        Outcome outcome = status >= FIRST_SERVER_ERROR ? Outcome.FAILED : Outcome.REFUSED;
        retryOrComplete(DEFAULT_RETRY_DELAY, outcome);
      } else {
        long millis = Long.parseLong(headers.get(ModelDialect.RETRY_AFTER_HEADER));
        retryOrComplete(Duration.ofMillis(millis), Outcome.REFUSED);
      }
    }

    @Override
    public void onEvent(String version) {
      events++;
      versions.add(version);
      recordPart();
    }

    @Override
    public void onEnd() {
      recordAttempt(true);
      long began = firstPartAtNanos + ONE_WAY_DELAY.toNanos() - sentAtNanos;
      boolean prompt = began <= request.kind().aim().toNanos();
      boolean steady =
          !request.kind().streamed() || longestPauseNanos <= request.kind().pauseAim().toNanos();
      complete(prompt && steady ? Outcome.IN_TIME : Outcome.LATE);
    }

    @Override
    public void onConnectionLost() {
      recordAttempt(false);
      if (events > 0 && timeLeftNanos() > DEADLINE_TOLERANCE.toNanos()) {
        fleet.onStreamCut(request);
      }
      if (events == 0 || request.kind().resumable()) {
        retryOrComplete(DEFAULT_RETRY_DELAY, Outcome.FAILED);
      } else {
        complete(Outcome.FAILED);
      }
    }

    private void recordAttempt(boolean answered) {
      if (attempts == 1 && !takesUp) {
        fleet.onFirstAttempt(instance, request, answered || events > 0);
      }
      if (!request.kind().resumable() || !fleet.inTouch(instance)) {
        return;
      }
      if (takesUp) {
        if (fleet.servedByTwo(versions)) {
          fleet.streamCheck().onTakenUp(answered);
        }
      } else {
        fleet.streamCheck().onBegun(answered || events > 0);
      }
    }
  }
}
