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
final class InstanceLogAnalyzer {
  private static final double PROMPT_TOKENS_PER_MS = 60;

  /** A request that the instance has taken and not ended. */
  private static final class OpenRequest {
    private final Instant firstEventAt;
    private String fingerprint = "";
    private String customer = "";
    private String lastFailure = "";
    private Duration serverStateAge = Duration.ofNanos(-1);
    private double promptTokensReread;
    private boolean placed;
    private LogReader.@Nullable LogEntry lateAnswer;

    private OpenRequest(Instant since) {
      this.firstEventAt = since;
    }
  }

  /** Something that the instance has lost, and since when. */
  private final Map<String, Instant> unreachableSince = new TreeMap<>();

  private final Map<String, OpenRequest> openRequests = new LinkedHashMap<>();
  private final Map<String, Instant> holderUnreachableAt = new HashMap<>();
  private final Map<String, Long> tokensLostByAll = new HashMap<>();
  private final Map<String, Instant> accountLevelAt = new HashMap<>();
  private final Consumer<AttemptRecord> endedAttempts;
  private final String instance;
  private String dataCentre = "";
  private boolean stopping;
  private Instant loopStalledAt = Instant.MIN;
  private Duration loopStall = Duration.ZERO;

  InstanceLogAnalyzer(String instance, Consumer<AttemptRecord> ended) {
    this.instance = instance;
    this.endedAttempts = ended;
  }

  void accept(LogReader.LogEntry line) {
    switch (line.event()) {
      case "InstanceState" -> onState(line);
      case "Dependency" -> onDependency(line);
      case "AccountLevel" -> {
        tokensLostByAll.put(line.text("customer"), (long) line.number("lostByAll"));
        accountLevelAt.put(line.text("customer"), line.time());
      }
      case "HolderUnreachable" -> holderUnreachableAt.put(line.text("customer"), line.time());
      case "LoopStalled" -> {
        loopStalledAt = line.time();
        loopStall = millis(line, "late_ms");
      }
      case "WaitsForTokens" -> openRequest(line).customer = line.text("customer");
      case "Placed" -> onPlaced(line);
      case "AttemptFailed" -> openRequest(line).lastFailure = line.text("failure");
      case "AnsweredLate" -> openRequest(line).lateAnswer = line;
      case "RequestEnded" -> onEnded(line);
      default -> {}
    }
  }

  /** Tells what was open when the logs end, as its process had. */
  void finish() {
    openRequests.values().forEach(this::reportLostWithProcess);
    openRequests.clear();
  }

  private void onState(LogReader.LogEntry line) {
    switch (line.text("state")) {
      case "starting" -> {
        finish();
        dataCentre = line.text("detail");
        unreachableSince.clear();
        stopping = false;
      }
      case "draining" -> stopping = true;
      default -> {}
    }
  }

  private void onDependency(LogReader.LogEntry line) {
    if (line.fields().path("reachable").asBoolean()) {
      unreachableSince.remove(line.text("name"));
    } else {
      unreachableSince.putIfAbsent(line.text("name"), line.time());
    }
  }

  private OpenRequest openRequest(LogReader.LogEntry line) {
    return openRequests.computeIfAbsent(line.text("request"), id -> new OpenRequest(line.time()));
  }

  private void onPlaced(LogReader.LogEntry line) {
    OpenRequest request = openRequest(line);
    request.placed = true;
    request.fingerprint = line.text("fingerprint");
    request.promptTokensReread = line.number("readAgain");
    request.serverStateAge = millis(line, "heardAgo_ms");
  }

  private void reportLostWithProcess(OpenRequest request) {
    endedAttempts.accept(
        new AttemptRecord(
            request.fingerprint,
            "",
            request.customer,
            instance,
            dataCentre,
            request.firstEventAt,
            request.firstEventAt,
            AttemptOutcome.FAILED,
            LossCause.INSTANCE_ENDED,
            Duration.ofNanos(-1)));
  }

  private void onEnded(LogReader.LogEntry line) {
    OpenRequest request =
        Optional.ofNullable(openRequests.remove(line.text("request")))
            .orElse(new OpenRequest(line.time()));
    Duration took = millis(line, "took_ms");
    Assessment judged = assess(request, line);
    String kind =
        line.text("kind").isEmpty()
            ? ""
            : "%s %.0f ms".formatted(line.text("kind"), line.number("aim_ms"));
    endedAttempts.accept(
        new AttemptRecord(
            line.text("fingerprint"),
            kind,
            line.text("customer"),
            instance,
            dataCentre,
            line.time().minus(took),
            line.time(),
            judged.outcome(),
            judged.cause(),
            judged.stateAge()));
  }

  private record Assessment(AttemptOutcome outcome, LossCause cause, Duration stateAge) {}

  private Assessment assess(OpenRequest request, LogReader.LogEntry line) {
    Duration unknown = Duration.ofNanos(-1);
    String customer = line.text("customer");
    return switch (line.text("outcome")) {
      case "answered" -> assessAnswered(request, line);
      case "budget-exhausted" ->
          new Assessment(
              AttemptOutcome.REFUSED, LossCause.REFUSED_TOTAL_USED_UP, accountLevelAge(line));
      case "no-lease" -> assessNoTokens(customer, line);
      case "expired-waiting" ->
          request.placed
              ? new Assessment(
                  AttemptOutcome.REFUSED, LossCause.WAITED_FOR_SERVER, request.serverStateAge)
              : assessNoTokens(customer, line);
      case "deadline-passed" -> assessFailed(request, LossCause.QUEUED_AT_SERVER, line);
      case "no-backend-server" ->
          new Assessment(
              AttemptOutcome.REFUSED, isolatedOr(LossCause.NO_SERVER), longestUnreachable(line));
      case "overloaded" ->
          new Assessment(
              AttemptOutcome.REFUSED, LossCause.WAITED_FOR_SERVER, request.serverStateAge);
      case "draining" ->
          new Assessment(AttemptOutcome.REFUSED, LossCause.INSTANCE_STOPPING, unknown);
      case "not-ready", "unauthenticated", "unknown-service" ->
          new Assessment(AttemptOutcome.REFUSED, LossCause.PLAN_NOT_THERE, unknown);
      case "caller-gone" -> new Assessment(AttemptOutcome.FAILED, LossCause.CALLER_LEFT, unknown);
      case "backend-failed", "stream-broken" ->
          assessFailed(request, LossCause.SERVER_FAILED, line);
      default -> new Assessment(AttemptOutcome.REFUSED, LossCause.LIMIT, unknown);
    };
  }

  /** Of what was answered late, the part of the time that alone made it so, or else the longest. */
  private Assessment assessAnswered(OpenRequest request, LogReader.LogEntry line) {
    if (line.number("status") >= 500) {
      return new Assessment(AttemptOutcome.FAILED, LossCause.SERVER_FAILED, Duration.ofNanos(-1));
    }
    LogReader.LogEntry late = request.lateAnswer;
    if (late == null) {
      return new Assessment(AttemptOutcome.IN_TIME, LossCause.UNKNOWN, Duration.ofNanos(-1));
    }
    Duration waited = millis(late, "waited_ms");
    Duration placed = millis(late, "placed_ms");
    Duration began = millis(late, "began_ms");
    Duration aim = millis(line, "aim_ms");
    if (loopStalledAt.isAfter(line.time().minus(millis(line, "took_ms")))
        && loopStall.multipliedBy(2).compareTo(began.minus(aim)) > 0) {
      return new Assessment(AttemptOutcome.LATE, LossCause.LOOP_STALLED, Duration.ofNanos(-1));
    }
    Duration atServer = began.minus(placed);
    Duration forServer = placed.minus(waited);
    if (waited.compareTo(atServer) > 0 && waited.compareTo(forServer) > 0) {
      return new Assessment(
          AttemptOutcome.LATE, LossCause.WAITED_FOR_TOKENS, accountLevelAge(line));
    }
    if (forServer.compareTo(atServer) > 0) {
      LossCause cause =
          request.lastFailure.isEmpty() ? LossCause.WAITED_FOR_SERVER : LossCause.SERVER_FAILED;
      return new Assessment(AttemptOutcome.LATE, cause, request.serverStateAge);
    }
    Duration readingAgain =
        Duration.ofMillis((long) (request.promptTokensReread / PROMPT_TOKENS_PER_MS));
    LossCause cause =
        began.minus(readingAgain).compareTo(aim) <= 0 && !readingAgain.isZero()
            ? LossCause.PROMPT_READ_AGAIN
            : LossCause.QUEUED_AT_SERVER;
    return new Assessment(AttemptOutcome.LATE, cause, request.serverStateAge);
  }

  private Assessment assessFailed(
      OpenRequest request, LossCause otherwise, LogReader.LogEntry line) {
    LossCause cause = request.lastFailure.equals("NOT_SENT") ? isolatedOr(otherwise) : otherwise;
    return new Assessment(
        AttemptOutcome.FAILED,
        stopping ? LossCause.INSTANCE_STOPPING : cause,
        longestUnreachable(line));
  }

  private Assessment assessNoTokens(String customer, LogReader.LogEntry line) {
    Instant asked = holderUnreachableAt.getOrDefault(customer, Instant.MIN);
    LossCause cause;
    if (!asked.isBefore(line.time().minus(millis(line, "took_ms")))) {
      cause = LossCause.HOLDER_UNREACHABLE;
    } else if (unreachableSince.isEmpty()) {
      cause =
          tokensLostByAll.getOrDefault(customer, 0L) > 0
              ? LossCause.REFUSED_TOKENS_HELD
              : LossCause.REFUSED_TOKENS_ELSEWHERE;
    } else {
      cause = LossCause.STORE_AWAY;
    }
    return new Assessment(
        AttemptOutcome.REFUSED,
        cause,
        unreachableSince.isEmpty() ? accountLevelAge(line) : longestUnreachable(line));
  }

  /** An instance that has lost all that it depends on is cut off. */
  private LossCause isolatedOr(LossCause otherwise) {
    return unreachableSince.size() > 1 ? LossCause.CUT : otherwise;
  }

  private Duration longestUnreachable(LogReader.LogEntry line) {
    return unreachableSince.values().stream()
        .min(Instant::compareTo)
        .map(since -> Duration.between(since, line.time()))
        .orElse(Duration.ofNanos(-1));
  }

  private Duration accountLevelAge(LogReader.LogEntry line) {
    Instant at = accountLevelAt.get(line.text("customer"));
    return at == null ? Duration.ofNanos(-1) : Duration.between(at, line.time());
  }

  private static Duration millis(LogReader.LogEntry line, String field) {
    return Duration.ofNanos((long) (line.number(field) * 1e6));
  }
}
