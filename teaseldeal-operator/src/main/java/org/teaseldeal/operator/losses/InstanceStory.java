package org.teaseldeal.operator.losses;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Follows one instance's log: what it believed, and which requests it has. Tells each attempt of a
 * caller as it ends, with the cause if it wasn't answered in time.
 */
final class InstanceStory {
  private static final double TOKENS_PER_MILLI = 60;

  /** A request that the instance has taken and not ended. */
  private static final class Open {
    private final Instant since;
    private String fingerprint = "";
    private String customer = "";
    private String lastFailure = "";
    private Duration heardAgo = Duration.ofNanos(-1);
    private double readAgain;
    private boolean placed;
    private LogLines.@Nullable Line late;

    private Open(Instant since) {
      this.since = since;
    }
  }

  /** Something that the instance has lost, and since when. */
  private final Map<String, Instant> lost = new TreeMap<>();

  private final Map<String, Open> open = new LinkedHashMap<>();
  private final Map<String, Instant> holderUnreachable = new HashMap<>();
  private final Map<String, Long> lostTokens = new HashMap<>();
  private final Map<String, Instant> levelAt = new HashMap<>();
  private final Consumer<AttemptRecord> ended;
  private final String instance;
  private String dataCentre = "";
  private boolean stopping;
  private Instant stalledAt = Instant.MIN;
  private Duration stall = Duration.ZERO;

  InstanceStory(String instance, Consumer<AttemptRecord> ended) {
    this.instance = instance;
    this.ended = ended;
  }

  void take(LogLines.Line line) {
    switch (line.event()) {
      case "InstanceState" -> onState(line);
      case "Dependency" -> onDependency(line);
      case "AccountLevel" -> {
        lostTokens.put(line.text("customer"), (long) line.number("lostByAll"));
        levelAt.put(line.text("customer"), line.time());
      }
      case "HolderUnreachable" -> holderUnreachable.put(line.text("customer"), line.time());
      case "LoopStalled" -> {
        stalledAt = line.time();
        stall = millis(line, "late_ms");
      }
      case "WaitsForTokens" -> of(line).customer = line.text("customer");
      case "Placed" -> onPlaced(line);
      case "AttemptFailed" -> of(line).lastFailure = line.text("failure");
      case "AnsweredLate" -> of(line).late = line;
      case "RequestEnded" -> onEnded(line);
      default -> {}
    }
  }

  /** Tells what was open when the logs end, as its process had. */
  void end() {
    open.values().forEach(this::lostWithProcess);
    open.clear();
  }

  private void onState(LogLines.Line line) {
    switch (line.text("state")) {
      case "starting" -> {
        end();
        dataCentre = line.text("detail");
        lost.clear();
        stopping = false;
      }
      case "draining" -> stopping = true;
      default -> {}
    }
  }

  private void onDependency(LogLines.Line line) {
    if (line.fields().path("reachable").asBoolean()) {
      lost.remove(line.text("name"));
    } else {
      lost.putIfAbsent(line.text("name"), line.time());
    }
  }

  private Open of(LogLines.Line line) {
    return open.computeIfAbsent(line.text("request"), id -> new Open(line.time()));
  }

  private void onPlaced(LogLines.Line line) {
    Open request = of(line);
    request.placed = true;
    request.fingerprint = line.text("fingerprint");
    request.readAgain = line.number("readAgain");
    request.heardAgo = millis(line, "heardAgo_ms");
  }

  private void lostWithProcess(Open request) {
    ended.accept(
        new AttemptRecord(
            request.fingerprint,
            "",
            request.customer,
            instance,
            dataCentre,
            request.since,
            request.since,
            Verdict.FAILED,
            LossCause.INSTANCE_ENDED,
            Duration.ofNanos(-1)));
  }

  private void onEnded(LogLines.Line line) {
    Open request =
        Optional.ofNullable(open.remove(line.text("request"))).orElse(new Open(line.time()));
    Duration took = millis(line, "took_ms");
    Judged judged = judge(request, line);
    String kind =
        line.text("kind").isEmpty()
            ? ""
            : "%s %.0f ms".formatted(line.text("kind"), line.number("aim_ms"));
    ended.accept(
        new AttemptRecord(
            line.text("fingerprint"),
            kind,
            line.text("customer"),
            instance,
            dataCentre,
            line.time().minus(took),
            line.time(),
            judged.verdict(),
            judged.cause(),
            judged.beliefAge()));
  }

  private record Judged(Verdict verdict, LossCause cause, Duration beliefAge) {}

  private Judged judge(Open request, LogLines.Line line) {
    Duration unknown = Duration.ofNanos(-1);
    String customer = line.text("customer");
    return switch (line.text("outcome")) {
      case "answered" -> judgeAnswered(request, line);
      case "budget-exhausted" ->
          new Judged(Verdict.REFUSED, LossCause.REFUSED_TOTAL_USED_UP, levelAge(line));
      case "no-lease" -> judgeNoTokens(customer, line);
      case "expired-waiting" ->
          request.placed
              ? new Judged(Verdict.REFUSED, LossCause.WAITED_FOR_SERVER, request.heardAgo)
              : judgeNoTokens(customer, line);
      case "deadline-passed" -> judgeFailed(request, LossCause.QUEUED_AT_SERVER, line);
      case "no-backend-server" ->
          new Judged(Verdict.REFUSED, cutOr(LossCause.NO_SERVER), lostAge(line));
      case "overloaded" ->
          new Judged(Verdict.REFUSED, LossCause.WAITED_FOR_SERVER, request.heardAgo);
      case "draining" -> new Judged(Verdict.REFUSED, LossCause.INSTANCE_STOPPING, unknown);
      case "not-ready", "unauthenticated", "unknown-service" ->
          new Judged(Verdict.REFUSED, LossCause.PLAN_NOT_THERE, unknown);
      case "caller-gone" -> new Judged(Verdict.FAILED, LossCause.CALLER_LEFT, unknown);
      case "backend-failed", "stream-broken" -> judgeFailed(request, LossCause.SERVER_FAILED, line);
      default -> new Judged(Verdict.REFUSED, LossCause.LIMIT, unknown);
    };
  }

  /** Of what was answered late, the part of the time that alone made it so, or else the longest. */
  private Judged judgeAnswered(Open request, LogLines.Line line) {
    if (line.number("status") >= 500) {
      return new Judged(Verdict.FAILED, LossCause.SERVER_FAILED, Duration.ofNanos(-1));
    }
    LogLines.Line late = request.late;
    if (late == null) {
      return new Judged(Verdict.IN_TIME, LossCause.UNKNOWN, Duration.ofNanos(-1));
    }
    Duration waited = millis(late, "waited_ms");
    Duration placed = millis(late, "placed_ms");
    Duration began = millis(late, "began_ms");
    Duration aim = millis(line, "aim_ms");
    if (stalledAt.isAfter(line.time().minus(millis(line, "took_ms")))
        && stall.multipliedBy(2).compareTo(began.minus(aim)) > 0) {
      return new Judged(Verdict.LATE, LossCause.LOOP_STALLED, Duration.ofNanos(-1));
    }
    Duration atServer = began.minus(placed);
    Duration forServer = placed.minus(waited);
    if (waited.compareTo(atServer) > 0 && waited.compareTo(forServer) > 0) {
      return new Judged(Verdict.LATE, LossCause.WAITED_FOR_TOKENS, levelAge(line));
    }
    if (forServer.compareTo(atServer) > 0) {
      LossCause cause =
          request.lastFailure.isEmpty() ? LossCause.WAITED_FOR_SERVER : LossCause.SERVER_FAILED;
      return new Judged(Verdict.LATE, cause, request.heardAgo);
    }
    Duration readingAgain = Duration.ofMillis((long) (request.readAgain / TOKENS_PER_MILLI));
    LossCause cause =
        began.minus(readingAgain).compareTo(aim) <= 0 && !readingAgain.isZero()
            ? LossCause.PROMPT_READ_AGAIN
            : LossCause.QUEUED_AT_SERVER;
    return new Judged(Verdict.LATE, cause, request.heardAgo);
  }

  private Judged judgeFailed(Open request, LossCause otherwise, LogLines.Line line) {
    LossCause cause = request.lastFailure.equals("NOT_SENT") ? cutOr(otherwise) : otherwise;
    return new Judged(
        Verdict.FAILED, stopping ? LossCause.INSTANCE_STOPPING : cause, lostAge(line));
  }

  private Judged judgeNoTokens(String customer, LogLines.Line line) {
    Instant asked = holderUnreachable.getOrDefault(customer, Instant.MIN);
    LossCause cause;
    if (!asked.isBefore(line.time().minus(millis(line, "took_ms")))) {
      cause = LossCause.HOLDER_UNREACHABLE;
    } else if (lost.isEmpty()) {
      cause =
          lostTokens.getOrDefault(customer, 0L) > 0
              ? LossCause.REFUSED_TOKENS_HELD
              : LossCause.REFUSED_TOKENS_ELSEWHERE;
    } else {
      cause = LossCause.STORE_AWAY;
    }
    return new Judged(Verdict.REFUSED, cause, lost.isEmpty() ? levelAge(line) : lostAge(line));
  }

  /** An instance that has lost all that it depends on is cut off. */
  private LossCause cutOr(LossCause otherwise) {
    return lost.size() > 1 ? LossCause.CUT : otherwise;
  }

  private Duration lostAge(LogLines.Line line) {
    return lost.values().stream()
        .min(Instant::compareTo)
        .map(since -> Duration.between(since, line.time()))
        .orElse(Duration.ofNanos(-1));
  }

  private Duration levelAge(LogLines.Line line) {
    Instant at = levelAt.get(line.text("customer"));
    return at == null ? Duration.ofNanos(-1) : Duration.between(at, line.time());
  }

  private static Duration millis(LogLines.Line line, String field) {
    return Duration.ofNanos((long) (line.number(field) * 1e6));
  }
}
