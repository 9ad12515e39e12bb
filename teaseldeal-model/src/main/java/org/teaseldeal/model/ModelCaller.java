package org.teaseldeal.model;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;

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

  private static final int FIRST_SERVER_ERROR = 500;
  private static final int OK = 200;
  private static final int NOT_FOUND = 404;

  private final ModelFleet fleet;
  private final VirtualTime time;
  private final ModelRequest request;
  private final long sentAtNanos;
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
    Duration timeLeft = request.kind().deadline().minusNanos(time.elapsedNanos() - sentAtNanos);
    if (instance.isEmpty() || timeLeft.isNegative() || timeLeft.isZero()) {
      retryOrComplete(DEFAULT_RETRY_DELAY, Outcome.FAILED);
      return;
    }
    Attempt attempt = new Attempt();
    String id = request.number() + "-" + attempts;
    ModelExchange exchange = new ModelExchange(id, request, timeLeft, attempt);
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
      fleet.onRequestCompleted(request, outcome);
    }
  }

  private final class Attempt implements ModelExchange.ResponseListener {
    private long firstPartAtNanos = -1;
    private long lastPartAtNanos;
    private long longestPauseNanos;

    @Override
    public void onResponse(int status, Map<String, String> headers) {
      if (status == OK) {
        onBodyPart();
        onEnd();
      } else if (status == NOT_FOUND || !headers.containsKey(ModelDialect.RETRY_AFTER_HEADER)) {
        Outcome outcome = status >= FIRST_SERVER_ERROR ? Outcome.FAILED : Outcome.REFUSED;
        retryOrComplete(DEFAULT_RETRY_DELAY, outcome);
      } else {
        long millis = Long.parseLong(headers.get(ModelDialect.RETRY_AFTER_HEADER));
        retryOrComplete(Duration.ofMillis(millis), Outcome.REFUSED);
      }
    }

    @Override
    public void onBodyPart() {
      long now = time.elapsedNanos();
      if (firstPartAtNanos < 0) {
        firstPartAtNanos = now;
      } else {
        longestPauseNanos = Math.max(longestPauseNanos, now - lastPartAtNanos);
      }
      lastPartAtNanos = now;
    }

    @Override
    public void onEnd() {
      long began = firstPartAtNanos + ONE_WAY_DELAY.toNanos() - sentAtNanos;
      boolean prompt = began <= request.kind().aim().toNanos();
      boolean steady =
          !request.kind().streamed() || longestPauseNanos <= request.kind().pauseAim().toNanos();
      complete(prompt && steady ? Outcome.IN_TIME : Outcome.LATE);
    }

    @Override
    public void onConnectionLost() {
      if (firstPartAtNanos < 0) {
        retryOrComplete(DEFAULT_RETRY_DELAY, Outcome.FAILED);
      } else {
        complete(Outcome.FAILED);
      }
    }
  }
}
