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
 * Analyses the log of one instance. It tracks the requests that the instance has not ended yet and
 * what the instance knew about its dependencies and accounts. It reports each attempt of a caller
 * when it ends, with the cause if it wasn't answered in time.
 */
final class InstanceLogAnalyzer {
  /** The assumed rate at which a backend server processes the tokens of a prompt. */
  private static final double PROMPT_TOKENS_PER_MS = 60;

  /** A request that the instance has accepted and not ended yet. */
  private static final class OpenRequest {
    private final Instant firstEventAt;
    private String fingerprint = "";
    private String customer = "";
    private String lastFailure = "";
    private Duration serverStateAge = Duration.ofNanos(-1);
    private double promptTokensReread;
    private boolean placed;
    private LogReader.@Nullable LogEntry lateAnswer;

    private OpenRequest(Instant firstEventAt) {
      this.firstEventAt = firstEventAt;
    }
  }

  /**
   * The dependencies that the instance cannot reach, by name, and the time since which they are
   * unreachable.
   */
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

  InstanceLogAnalyzer(String instance, Consumer<AttemptRecord> endedAttempts) {
    this.instance = instance;
    this.endedAttempts = endedAttempts;
  }

  void accept(LogReader.LogEntry entry) {
    switch (entry.event()) {
      case "InstanceState" -> onState(entry);
      case "Dependency" -> onDependency(entry);
      case "AccountLevel" -> {
        tokensLostByAll.put(entry.text("customer"), (long) entry.number("lostByAll"));
        accountLevelAt.put(entry.text("customer"), entry.time());
      }
      case "HolderUnreachable" -> holderUnreachableAt.put(entry.text("customer"), entry.time());
      case "LoopStalled" -> {
        loopStalledAt = entry.time();
        loopStall = millis(entry, "late_ms");
      }
      case "WaitsForTokens" -> openRequest(entry).customer = entry.text("customer");
      case "Placed" -> onPlaced(entry);
      case "AttemptFailed" -> openRequest(entry).lastFailure = entry.text("failure");
      case "AnsweredLate" -> openRequest(entry).lateAnswer = entry;
      case "RequestEnded" -> onEnded(entry);
      default -> {}
    }
  }

  /** Reports the requests that are still open at the end of the logs as lost with the process. */
  void finish() {
    openRequests.values().forEach(this::reportLostWithProcess);
    openRequests.clear();
  }

  private void onState(LogReader.LogEntry entry) {
    switch (entry.text("state")) {
      case "starting" -> {
        finish();
        dataCentre = entry.text("detail");
        unreachableSince.clear();
        stopping = false;
      }
      case "draining" -> stopping = true;
      default -> {}
    }
  }

  private void onDependency(LogReader.LogEntry entry) {
    if (entry.fields().path("reachable").asBoolean()) {
      unreachableSince.remove(entry.text("name"));
    } else {
      unreachableSince.putIfAbsent(entry.text("name"), entry.time());
    }
  }

  private OpenRequest openRequest(LogReader.LogEntry entry) {
    return openRequests.computeIfAbsent(entry.text("request"), id -> new OpenRequest(entry.time()));
  }

  private void onPlaced(LogReader.LogEntry entry) {
    OpenRequest request = openRequest(entry);
    request.placed = true;
    request.fingerprint = entry.text("fingerprint");
    request.promptTokensReread = entry.number("readAgain");
    request.serverStateAge = millis(entry, "heardAgo_ms");
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

  private void onEnded(LogReader.LogEntry entry) {
    OpenRequest request =
        Optional.ofNullable(openRequests.remove(entry.text("request")))
            .orElse(new OpenRequest(entry.time()));
    Duration duration = millis(entry, "took_ms");
    Assessment assessment = assess(request, entry);
    String kind =
        entry.text("kind").isEmpty()
            ? ""
            : "%s %.0f ms".formatted(entry.text("kind"), entry.number("aim_ms"));
    endedAttempts.accept(
        new AttemptRecord(
            entry.text("fingerprint"),
            kind,
            entry.text("customer"),
            instance,
            dataCentre,
            entry.time().minus(duration),
            entry.time(),
            assessment.outcome(),
            assessment.cause(),
            assessment.stateAge()));
  }

  private record Assessment(AttemptOutcome outcome, LossCause cause, Duration stateAge) {}

  private Assessment assess(OpenRequest request, LogReader.LogEntry entry) {
    Duration noAge = Duration.ofNanos(-1);
    String customer = entry.text("customer");
    return switch (entry.text("outcome")) {
      case "answered" -> assessAnswered(request, entry);
      case "budget-exhausted" ->
          new Assessment(
              AttemptOutcome.REFUSED, LossCause.REFUSED_TOTAL_USED_UP, accountLevelAge(entry));
      case "no-lease" -> assessNoTokens(customer, entry);
      case "expired-waiting" ->
          request.placed
              ? new Assessment(
                  AttemptOutcome.REFUSED, LossCause.WAITED_FOR_SERVER, request.serverStateAge)
              : assessNoTokens(customer, entry);
      case "deadline-passed" -> assessFailed(request, LossCause.QUEUED_AT_SERVER, entry);
      case "no-backend-server", "stream-not-resumable" ->
          new Assessment(
              AttemptOutcome.REFUSED, isolatedOr(LossCause.NO_SERVER), longestUnreachable(entry));
      case "overloaded" ->
          new Assessment(
              AttemptOutcome.REFUSED, LossCause.WAITED_FOR_SERVER, request.serverStateAge);
      case "draining" -> new Assessment(AttemptOutcome.REFUSED, LossCause.INSTANCE_STOPPING, noAge);
      case "not-ready", "unauthenticated", "unknown-service" ->
          new Assessment(AttemptOutcome.REFUSED, LossCause.PLAN_NOT_THERE, noAge);
      case "caller-gone" -> new Assessment(AttemptOutcome.FAILED, LossCause.CALLER_LEFT, noAge);
      case "backend-failed", "stream-broken" ->
          assessFailed(request, LossCause.SERVER_FAILED, entry);
      default -> new Assessment(AttemptOutcome.REFUSED, LossCause.LIMIT, noAge);
    };
  }

  /**
   * Returns the outcome of an answered request. If it was answered late, the cause is the part of
   * the time that alone exceeded the target, or otherwise the longest part.
   */
  private Assessment assessAnswered(OpenRequest request, LogReader.LogEntry entry) {
    if (entry.number("status") >= 500) {
      return new Assessment(AttemptOutcome.FAILED, LossCause.SERVER_FAILED, Duration.ofNanos(-1));
    }
    LogReader.LogEntry lateAnswer = request.lateAnswer;
    if (lateAnswer == null) {
      return new Assessment(AttemptOutcome.IN_TIME, LossCause.UNKNOWN, Duration.ofNanos(-1));
    }
    Duration waitedForTokens = millis(lateAnswer, "waited_ms");
    Duration placedAfter = millis(lateAnswer, "placed_ms");
    Duration answerBeganAfter = millis(lateAnswer, "began_ms");
    Duration target = millis(entry, "aim_ms");
    if (loopStalledAt.isAfter(entry.time().minus(millis(entry, "took_ms")))
        && loopStall.multipliedBy(2).compareTo(answerBeganAfter.minus(target)) > 0) {
      return new Assessment(AttemptOutcome.LATE, LossCause.LOOP_STALLED, Duration.ofNanos(-1));
    }
    Duration timeAtServer = answerBeganAfter.minus(placedAfter);
    Duration waitedForServer = placedAfter.minus(waitedForTokens);
    if (waitedForTokens.compareTo(timeAtServer) > 0
        && waitedForTokens.compareTo(waitedForServer) > 0) {
      return new Assessment(
          AttemptOutcome.LATE, LossCause.WAITED_FOR_TOKENS, accountLevelAge(entry));
    }
    if (waitedForServer.compareTo(timeAtServer) > 0) {
      LossCause cause =
          request.lastFailure.isEmpty() ? LossCause.WAITED_FOR_SERVER : LossCause.SERVER_FAILED;
      return new Assessment(AttemptOutcome.LATE, cause, request.serverStateAge);
    }
    Duration rereadingTime =
        Duration.ofMillis((long) (request.promptTokensReread / PROMPT_TOKENS_PER_MS));
    LossCause cause =
        answerBeganAfter.minus(rereadingTime).compareTo(target) <= 0 && !rereadingTime.isZero()
            ? LossCause.PROMPT_READ_AGAIN
            : LossCause.QUEUED_AT_SERVER;
    return new Assessment(AttemptOutcome.LATE, cause, request.serverStateAge);
  }

  private Assessment assessFailed(
      OpenRequest request, LossCause fallback, LogReader.LogEntry entry) {
    LossCause cause = request.lastFailure.equals("NOT_SENT") ? isolatedOr(fallback) : fallback;
    return new Assessment(
        AttemptOutcome.FAILED,
        stopping ? LossCause.INSTANCE_STOPPING : cause,
        longestUnreachable(entry));
  }

  private Assessment assessNoTokens(String customer, LogReader.LogEntry entry) {
    Instant unreachableAt = holderUnreachableAt.getOrDefault(customer, Instant.MIN);
    LossCause cause;
    if (!unreachableAt.isBefore(entry.time().minus(millis(entry, "took_ms")))) {
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
        unreachableSince.isEmpty() ? accountLevelAge(entry) : longestUnreachable(entry));
  }

  /**
   * Returns {@link LossCause#CUT} if the instance has lost more than one dependency, which is taken
   * to mean that its network is isolated; otherwise {@code fallback}.
   */
  private LossCause isolatedOr(LossCause fallback) {
    return unreachableSince.size() > 1 ? LossCause.CUT : fallback;
  }

  private Duration longestUnreachable(LogReader.LogEntry entry) {
    return unreachableSince.values().stream()
        .min(Instant::compareTo)
        .map(since -> Duration.between(since, entry.time()))
        .orElse(Duration.ofNanos(-1));
  }

  private Duration accountLevelAge(LogReader.LogEntry entry) {
    Instant at = accountLevelAt.get(entry.text("customer"));
    return at == null ? Duration.ofNanos(-1) : Duration.between(at, entry.time());
  }

  private static Duration millis(LogReader.LogEntry entry, String field) {
    return Duration.ofNanos((long) (entry.number(field) * 1e6));
  }
}
