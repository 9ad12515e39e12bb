package org.teaseldeal.gateway.flow;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.teaseldeal.api.ErrorKind;
import org.teaseldeal.api.Problem;
import org.teaseldeal.gateway.account.Reservation;
import org.teaseldeal.gateway.account.ReservationListener;
import org.teaseldeal.gateway.account.TokenRequests;
import org.teaseldeal.gateway.event.GatewayEvent;
import org.teaseldeal.gateway.plan.PrepaidCustomer;
import org.teaseldeal.gateway.plan.Route;
import org.teaseldeal.gateway.server.BackendServer;
import org.teaseldeal.gateway.server.ServerIncarnation;
import org.teaseldeal.net.HttpAnswer;
import org.teaseldeal.net.HttpExchange;

/**
 * Handles one request from its admission to its final answer.
 *
 * <p>The request waits for tokens, then for a backend server, then for that server's answer. It is
 * sent to a server again only where this is safe: if the previous attempt is proven not to have
 * run, or if the route declares its requests repeatable.
 */
final class RequestFlow implements ReservationListener {
  /** The resource or event that the request currently waits for. */
  private enum Stage {
    TOKENS,
    SERVER,
    ANSWER,
    ENDED
  }

  /**
   * Time per token of an inference engine under light load, from the data sheets of the engines in
   * use.
   */
  private static final double MILLIS_PER_PROMPT_TOKEN = 1 / 60.0;

  private static final double MILLIS_PER_OUTPUT_TOKEN = 5;

  private static final int FIRST_SERVER_ERROR = 500;

  /** The outcome of a request for which a backend server's answer was passed on. */
  private static final String ANSWERED = "answered";

  /**
   * How long a server is not chosen after a connection to it could not be opened: about the time
   * that a crashed server takes to restart.
   */
  private static final Duration UNREACHABLE_PAUSE = Duration.ofSeconds(1);

  /** How long a full server is not chosen: long enough for a few of its requests to end. */
  private static final Duration FULL_PAUSE = Duration.ofMillis(100);

  /**
   * How long a server is not chosen after another server answered at its address. The address may
   * have been reassigned to a server of another service, which the server list shows after a while.
   *
   * <p>The exclusion is limited because the original server may return to its address without a
   * change in its listing. If it stayed excluded, the load would be spread over fewer servers until
   * the list changes.
   */
  private static final Duration OTHER_SERVER_PAUSE = Duration.ofSeconds(4);

  /**
   * How many connections may fail to open for one request. Each failure costs a connect timeout at
   * most.
   */
  private static final int MAX_UNREACHABLE = 4;

  /** How long a request waits until a server of its service is listed. */
  private static final Duration LONGEST_WAIT_FOR_SERVER = Duration.ofMillis(400);

  /**
   * The suggested delay before a retry if no server can take the request. A server takes some
   * seconds to restart.
   */
  private static final Duration COME_BACK_NO_SERVER = Duration.ofMillis(500);

  /**
   * The suggested delay before a retry if a server was full: its queue drains within a few answers.
   */
  private static final Duration COME_BACK_FULL = Duration.ofMillis(150);

  /**
   * Tolerance when a call's timeout is compared with the request's deadline. The call's own timer
   * has a resolution of whole milliseconds and starts slightly after the request's.
   */
  private static final Duration TIMER_GRAIN = Duration.ofMillis(2);

  private final GatewayParts parts;
  private final RequestDesk desk;
  private final HttpExchange exchange;
  private final CallerAnswer answer;
  private final RoutedRequest request;
  private final Route route;
  private final Optional<PrepaidCustomer> customer;
  private final String service;
  private final TokenUse use;
  private final long planVersion;
  private final Instant arrived;
  private final Instant deadline;
  private final Set<ServerIncarnation> tried = new HashSet<>();

  private Stage stage = Stage.TOKENS;
  private Reservation reservation = Reservation.NONE;
  private Duration waited = Duration.ZERO;
  private Duration placed = Duration.ZERO;
  private @Nullable String fingerprint;
  private int sends;
  private int unreachable;
  private boolean mayHaveRun;
  private @Nullable Attempt attempt;
  private Instant waitingForServerSince = Instant.MAX;

  RequestFlow(
      GatewayParts parts,
      RequestDesk dispatcher,
      HttpExchange exchange,
      RequestDesk.Admitted admitted) {
    this.parts = parts;
    this.desk = dispatcher;
    this.exchange = exchange;
    this.answer = new CallerAnswer(exchange, parts.clock());
    this.request = admitted.request();
    this.route = admitted.route();
    this.customer = admitted.customer();
    this.service = admitted.service();
    this.use = new TokenUse(request.prompt(), admitted.tokensPerEvent());
    this.planVersion = admitted.planVersion();
    this.arrived = admitted.arrived();
    this.deadline = arrived.plus(RequestDesk.longest(request, route));
  }

  RoutedRequest request() {
    return request;
  }

  Route route() {
    return route;
  }

  String service() {
    return service;
  }

  boolean ended() {
    return stage == Stage.ENDED;
  }

  void begin() {
    exchange.onCallerGone(this::callerGone);
    if (customer.isPresent() && request.prompt().isPresent()) {
      reserve(customer.get().name(), request.prompt().get().atMost());
    } else {
      onReserved(Reservation.NONE);
    }
  }

  private void reserve(String name, long tokens) {
    TokenRequests requests = parts.tokens();
    Instant abandonAt = arrived.plus(route.silenceBorne(Duration.between(arrived, deadline)));
    requests.reserve(name, tokens, abandonAt, deadline, this);
    if (stage == Stage.TOKENS && requests.waitHere(name)) {
      parts
          .events()
          .accept(
              new GatewayEvent.WaitsForTokens(
                  request.id(), name, tokens, requests.idle(name), requests.asksForMore()));
    }
  }

  @Override
  public void onReserved(Reservation granted) {
    reservation = granted;
    waited = Duration.between(arrived, now());
    stage = Stage.SERVER;
    waitingForServerSince = now();
    send();
  }

  @Override
  public void onRefused(Problem problem) {
    refuse(
        problem.retryAfter().isEmpty()
            ? problem
            : Problem.retryable(
                problem.kind(), problem.detail(), desk.spread(problem.retryAfter().get())));
  }

  /**
   * Ends the request if its deadline has passed, retries the choice of a server if it waits for
   * one, and fails over if its server has become silent.
   */
  void tick() {
    if (stage == Stage.ENDED) {
      return;
    }
    if (!now().isBefore(deadline)) {
      deadlinePassed();
    } else if (stage == Stage.SERVER) {
      send();
    } else if (stage == Stage.ANSWER) {
      leaveSilentServer();
    }
  }

  /**
   * Refuses the request if it still waits for tokens or for a server and no server can have run it.
   */
  void refuseIfNotRun() {
    boolean waiting = stage == Stage.TOKENS || stage == Stage.SERVER;
    if (waiting && !mayHaveRun) {
      refuse(desk.stopping());
    }
  }

  /** Ends the request immediately because the process is about to exit. */
  void breakOff() {
    refuseIfNotRun();
    if (stage == Stage.ENDED) {
      return;
    }
    if (attempt != null) {
      giveUpAttempt(attempt);
    }
    fail(Problem.of(ErrorKind.BACKEND_FAILED, "the instance ended while it ran"));
  }

  private void send() {
    if (desk.refusing() && !mayHaveRun) {
      refuse(desk.stopping());
      return;
    }
    Optional<ServerChoice.Chosen> chosen =
        desk.choice().choose(service, request.prompt(), route.aim(), tried, now());
    if (chosen.isEmpty()) {
      waitOrGiveUp();
      return;
    }
    BackendServer server = chosen.get().server();
    stage = Stage.ANSWER;
    sends++;
    placed = Duration.between(arrived, now());
    parts.events().accept(placedAt(chosen.get()));
    parts.cachedPrompts().onSent(server.incarnation(), sharedPartIds(), now());
    Attempt next =
        new Attempt(this, parts, server, chosen.get().uncachedTokens(), route.kind().streamed());
    attempt = next;
    next.start(
        new Handover(
            server.id(),
            server.address(),
            customer.map(PrepaidCustomer::name),
            Duration.between(now(), deadline),
            rank(),
            answer.lastEventId().isEmpty() ? Optional.empty() : Optional.of(answer.lastEventId())));
  }

  private GatewayEvent.Placed placedAt(ServerChoice.Chosen chosen) {
    BackendServer server = chosen.server();
    long unshared = request.prompt().map(PromptTerms::unsharedTokens).orElse(0L);
    return new GatewayEvent.Placed(
        request.id(),
        service,
        server.id().name(),
        sends,
        server.running(),
        chosen.others().running(),
        Math.max(0, server.promptTokensAhead()) + chosen.others().promptTokensAhead(),
        Math.max(0, chosen.uncachedTokens() - unshared),
        chosen.heardAgo(),
        chosen.candidates(),
        answer.lastEventId(),
        fingerprint());
  }

  private String fingerprint() {
    if (fingerprint == null) {
      fingerprint = request.fingerprint();
    }
    return fingerprint;
  }

  private List<String> sharedPartIds() {
    return request.prompt().map(PromptTerms::sharedPartIds).orElse(List.of());
  }

  private int rank() {
    return customer.isPresent() && customer.get().rank().isPresent()
        ? customer.get().rank().getAsInt()
        : route.rank();
  }

  private void waitOrGiveUp() {
    Duration waiting = Duration.between(waitingForServerSince, now());
    if (waiting.compareTo(LONGEST_WAIT_FOR_SERVER) > 0 || !tried.isEmpty()) {
      giveUp(ErrorKind.NO_BACKEND_SERVER, "no server of the service can be reached");
    }
  }

  /**
   * Sends the request to another server if the present one has sent nothing for too long.
   *
   * <p>A server that loses power doesn't close its connections. Without this check its callers
   * would wait until their deadlines.
   */
  private void leaveSilentServer() {
    Attempt silent = attempt;
    if (silent == null || !route.repeatable() || sends >= route.maxAttempts()) {
      return;
    }
    if (!overdue(silent)) {
      return;
    }
    silent.cancel();
    onAttemptFailed(silent, AttemptEnd.MAY_HAVE_RUN, "silent");
  }

  private boolean overdue(Attempt waiting) {
    return waiting.silence().compareTo(desk.longestSilence(route)) > 0;
  }

  void onEvent(int status, Map<String, String> headers, EventSplitter.Event event) {
    if (stage == Stage.ENDED) {
      return;
    }
    answer.event(status, headers, event);
  }

  void onStreamEnd(int status, Map<String, String> headers, byte[] rest) {
    if (stage == Stage.ENDED) {
      return;
    }
    answered();
    answer.finish(status, headers, rest);
    end(ANSWERED, status, "");
  }

  void onWholeAnswer(int status, Map<String, String> headers, byte[] body) {
    if (stage == Stage.ENDED) {
      return;
    }
    if (answer.begun()) {
      breakStream("a resumed stream was answered with status " + status);
      return;
    }
    if (status >= FIRST_SERVER_ERROR && route.repeatable() && mayRepeat()) {
      Attempt failed = attempt;
      if (failed != null) {
        onAttemptFailed(failed, AttemptEnd.SERVER_ERROR, "status " + status);
        return;
      }
    }
    answered();
    answer.whole(new HttpAnswer(status, headers, body));
    end(ANSWERED, status, "");
  }

  private void answered() {
    mayHaveRun = true;
    desk.onAnswered(route, Duration.between(arrived, now()));
    if (parts.quarantine().active()) {
      parts.quarantine().onAnswered(fingerprint());
    }
    Attempt last = attempt;
    if (last != null) {
      use.after(last);
      desk.choice().onAnswered(last.server(), last.age(), expectedMillis());
    }
  }

  /**
   * The approximate time in milliseconds that an idle server needs for the answer. 1 for a request
   * without a prompt.
   */
  private double expectedMillis() {
    return 1
        + request.prompt().map(PromptTerms::unsharedTokens).orElse(0L) * MILLIS_PER_PROMPT_TOKEN
        + use.outputTokens(answer.eventsSent()) * MILLIS_PER_OUTPUT_TOKEN;
  }

  void onAttemptFailed(Attempt failed, AttemptEnd reason, String detail) {
    if (stage == Stage.ENDED) {
      return;
    }
    attempt = null;
    if (reason == AttemptEnd.SERVER_ERROR || reason == AttemptEnd.MAY_HAVE_RUN) {
      mayHaveRun = true;
      use.after(failed);
    }
    BackendServer server = failed.server();
    parts
        .events()
        .accept(
            new GatewayEvent.AttemptFailed(
                request.id(), server.id().name(), sends, reason.name(), detail, failed.age()));
    tried.add(server.incarnation());
    if (reason.provesNotRun()) {
      parts.cachedPrompts().onNotRun(server.incarnation(), sharedPartIds());
    }
    stage = Stage.SERVER;
    switch (reason) {
      case NOT_SENT -> {
        sends--;
        unreachable++;
        parts.quarantine().onUnreachable(server.incarnation());
        server.avoidUntil(now().plus(UNREACHABLE_PAUSE));
        sendAgainIf(unreachable < MAX_UNREACHABLE, ErrorKind.NO_BACKEND_SERVER, detail);
      }
      case OTHER_SERVER -> {
        server.avoidUntil(now().plus(OTHER_SERVER_PAUSE));
        sendAgainIf(mayRepeat(), ErrorKind.NO_BACKEND_SERVER, detail);
      }
      case NOT_RUN -> {
        server.avoidUntil(now().plus(FULL_PAUSE));
        sendAgainIf(mayRepeat(), ErrorKind.OVERLOADED, detail);
      }
      case SERVER_ERROR -> sendAgainIf(true, ErrorKind.BACKEND_FAILED, detail);
      case MAY_HAVE_RUN -> onMayHaveRun(failed, detail);
    }
  }

  /**
   * Handles an attempt that may have run.
   *
   * <p>An attempt that ran out of time counts against its server only if the server was silent for
   * longer than the route allows. If every attempt that ran out of time counted, a route whose
   * timeout is shorter than its requests take would get healthy servers ejected for all routes.
   */
  private void onMayHaveRun(Attempt failed, String detail) {
    boolean outOfTime = !now().isBefore(deadline.minus(TIMER_GRAIN));
    if (!outOfTime || overdue(failed)) {
      desk.choice().onFailed(failed.server());
      parts.quarantine().onBrokenOff(fingerprint(), failed.server().incarnation());
    }
    if (outOfTime) {
      fail(Problem.of(ErrorKind.DEADLINE_PASSED, detail));
    } else {
      sendAgainIf(route.repeatable() && mayRepeat(), ErrorKind.BACKEND_FAILED, detail);
    }
  }

  private boolean mayRepeat() {
    return sends < route.maxAttempts() && desk.tryRepeat(service);
  }

  private void sendAgainIf(boolean allowed, ErrorKind otherwise, String detail) {
    if (allowed && now().isBefore(deadline)) {
      waitingForServerSince = now();
      send();
    } else {
      giveUp(otherwise, detail);
    }
  }

  /**
   * Answers with the strongest statement that is certain: the answer says that the request was not
   * run only if no server may have run it.
   */
  private void giveUp(ErrorKind kind, String detail) {
    if (mayHaveRun) {
      fail(Problem.of(ErrorKind.BACKEND_FAILED, detail));
    } else if (kind.retryable()) {
      Duration retryAfter = kind == ErrorKind.OVERLOADED ? COME_BACK_FULL : COME_BACK_NO_SERVER;
      refuse(Problem.retryable(kind, detail, desk.spread(retryAfter)));
    } else {
      refuse(Problem.of(kind, detail));
    }
  }

  private void deadlinePassed() {
    if (attempt != null) {
      giveUpAttempt(attempt);
      fail(Problem.of(ErrorKind.DEADLINE_PASSED, "no whole answer by the deadline"));
    } else if (mayHaveRun) {
      fail(Problem.of(ErrorKind.DEADLINE_PASSED, "no server was found in time"));
    } else {
      refuse(Problem.of(ErrorKind.EXPIRED_WAITING, "not run by the deadline"));
    }
  }

  private void fail(Problem problem) {
    if (answer.begun()) {
      breakStream(problem.detail());
    } else {
      refuse(problem);
    }
  }

  private void refuse(Problem problem) {
    HttpAnswer refusal = parts.dialect().refuse(problem);
    answer.whole(refusal);
    end(problem.kind().label(), refusal.status(), problem.detail());
  }

  /** Aborts the connection so that the caller can tell that the answer is incomplete. */
  private void breakStream(String detail) {
    answer.breakOff();
    end(ErrorKind.STREAM_BROKEN.label(), 0, detail);
  }

  private void callerGone() {
    if (stage == Stage.ENDED) {
      return;
    }
    if (attempt != null) {
      giveUpAttempt(attempt);
    }
    end("caller-gone", 0, "");
  }

  private void giveUpAttempt(Attempt running) {
    mayHaveRun = true;
    use.after(running);
    running.cancel();
  }

  private void end(String outcome, int status, String detail) {
    if (stage == Stage.TOKENS && customer.isPresent()) {
      parts.tokens().withdraw(customer.get().name(), this);
    }
    stage = Stage.ENDED;
    attempt = null;
    long used = use.tokens(answer.eventsSent());
    parts.tokens().settle(reservation, used);
    desk.onEnded(this);
    if (outcome.equals(ANSWERED)) {
      tellIfLate();
    }
    parts
        .events()
        .accept(
            new GatewayEvent.RequestEnded(
                request.id(),
                route.name(),
                customer.map(PrepaidCustomer::name).orElse(""),
                outcome,
                status,
                detail,
                sends,
                reservation.tokens() == 0 ? 0 : used,
                planVersion,
                waited,
                Duration.between(arrived, now()),
                route.kind().label(),
                route.aim(),
                fingerprint()));
  }

  private void tellIfLate() {
    Duration toFirst = Duration.between(arrived, answer.firstSent().orElse(now()));
    boolean paused =
        route.kind().streamed() && answer.longestPause().compareTo(route.pauseAim()) > 0;
    if (paused || toFirst.compareTo(route.aim()) > 0) {
      parts
          .events()
          .accept(
              new GatewayEvent.AnsweredLate(
                  request.id(), waited, placed, toFirst, answer.longestPause(), route.pauseAim()));
    }
  }

  private Instant now() {
    return parts.clock().instant();
  }
}
