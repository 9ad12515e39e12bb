package org.teaseldeal.model;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;

/** A caller with one request, which comes back once if it isn't served. */
final class ModelCaller {
  /** How a request came out, the better ones first. */
  enum Outcome {
    IN_TIME,
    LATE,
    REFUSED,
    FAILED
  }

  /** One way between callers and instances. */
  private static final Duration WAY = Duration.ofMillis(3);

  /** Until a caller comes back that wasn't told when. */
  private static final Duration PAUSE = Duration.ofMillis(200);

  private static final int FIRST_SERVER_ERROR = 500;
  private static final int OK = 200;
  private static final int NOT_FOUND = 404;

  private final ModelFleet fleet;
  private final VirtualTime time;
  private final ModelRequest request;
  private final long sentAt;
  private int attempts;
  private boolean decided;

  ModelCaller(ModelFleet fleet, ModelRequest request) {
    this.fleet = fleet;
    this.time = fleet.time();
    this.request = request;
    this.sentAt = time.nanos();
  }

  void send() {
    attempts++;
    time.after(WAY, this::arrive);
  }

  private void arrive() {
    Optional<ModelInstance> instance = fleet.balance();
    Duration left = request.kind().deadline().minusNanos(time.nanos() - sentAt);
    if (instance.isEmpty() || left.isNegative() || left.isZero()) {
      comeBackOr(PAUSE, Outcome.FAILED);
      return;
    }
    Attempt attempt = new Attempt();
    String id = request.number() + "-" + attempts;
    ModelExchange exchange = new ModelExchange(id, request, left, attempt);
    fleet.onAttempt(id, request);
    time.after(
        left,
        () -> {
          if (!decided) {
            exchange.leave();
            decide(Outcome.FAILED);
          }
        });
    instance.get().take(exchange);
  }

  private void comeBackOr(Duration pause, Outcome otherwise) {
    boolean inTime = time.nanos() - sentAt + pause.toNanos() < request.kind().deadline().toNanos();
    if (attempts < 2 && inTime) {
      time.after(pause, this::send);
    } else {
      decide(otherwise);
    }
  }

  private void decide(Outcome outcome) {
    if (!decided) {
      decided = true;
      fleet.onDecided(request, outcome);
    }
  }

  private final class Attempt implements ModelExchange.Answers {
    private long firstPart = -1;
    private long lastPart;
    private long longestPause;

    @Override
    public void onWhole(int status, Map<String, String> headers) {
      if (status == OK) {
        onPart();
        onEnd();
      } else if (status == NOT_FOUND || !headers.containsKey(ModelDialect.COME_BACK)) {
        Outcome outcome = status >= FIRST_SERVER_ERROR ? Outcome.FAILED : Outcome.REFUSED;
        comeBackOr(PAUSE, outcome);
      } else {
        long millis = Long.parseLong(headers.get(ModelDialect.COME_BACK));
        comeBackOr(Duration.ofMillis(millis), Outcome.REFUSED);
      }
    }

    @Override
    public void onPart() {
      long now = time.nanos();
      if (firstPart < 0) {
        firstPart = now;
      } else {
        longestPause = Math.max(longestPause, now - lastPart);
      }
      lastPart = now;
    }

    @Override
    public void onEnd() {
      long began = firstPart + WAY.toNanos() - sentAt;
      boolean prompt = began <= request.kind().aim().toNanos();
      boolean steady =
          !request.kind().streamed() || longestPause <= request.kind().pauseAim().toNanos();
      decide(prompt && steady ? Outcome.IN_TIME : Outcome.LATE);
    }

    @Override
    public void onBroken() {
      if (firstPart < 0) {
        comeBackOr(PAUSE, Outcome.FAILED);
      } else {
        decide(Outcome.FAILED);
      }
    }
  }
}
