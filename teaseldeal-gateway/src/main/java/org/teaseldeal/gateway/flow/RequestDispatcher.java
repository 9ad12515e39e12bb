package org.teaseldeal.gateway.flow;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.teaseldeal.api.Durations;
import org.teaseldeal.api.ErrorKind;
import org.teaseldeal.api.Problem;
import org.teaseldeal.api.Result;
import org.teaseldeal.decisions.DrainAdmission;
import org.teaseldeal.decisions.RecentDurations;
import org.teaseldeal.decisions.RetryAfterJitter;
import org.teaseldeal.decisions.RetryWindow;
import org.teaseldeal.gateway.event.GatewayEvent;
import org.teaseldeal.gateway.path.ServerLinks;
import org.teaseldeal.gateway.plan.GatewayPlan;
import org.teaseldeal.gateway.plan.PlannedService;
import org.teaseldeal.gateway.plan.PrepaidCustomer;
import org.teaseldeal.gateway.plan.Route;
import org.teaseldeal.gateway.server.BackendServer;
import org.teaseldeal.gateway.server.ServerStatements;
import org.teaseldeal.net.HttpAnswer;
import org.teaseldeal.net.HttpExchange;
import org.teaseldeal.net.HttpHandler;

/**
 * Receives callers' requests, determines the route and customer of each, admits or refuses it, and
 * starts a {@link RequestFlow} for each admitted one.
 */
public final class RequestDispatcher implements HttpHandler {
  /**
   * The suggested delay before a retry while the instance is starting: about the time that it takes
   * to become ready.
   */
  private static final Duration STARTING_RETRY_AFTER = Duration.ofMillis(500);

  /**
   * The age from which a plan may be outdated: more than the longest pause between two reads of a
   * store that answers, and less than the time within which a new plan has to take effect.
   */
  private static final Duration MAX_PLAN_AGE = Duration.ofMillis(1800);

  /** The time in which an instance that lost the store finds another way to it. */
  private static final Duration OUTDATED_PLAN_RETRY_AFTER = Duration.ofSeconds(1);

  /**
   * How long a request is held until the first configuration is read, which happens some tens of
   * milliseconds after callers can connect. If it takes longer than this, the configuration store
   * is unavailable, and another instance may be able to serve the request.
   */
  private static final Duration MAX_WAIT_FOR_PLAN = Duration.ofMillis(800);

  /** How long before its caller stops waiting an early request is refused at the latest. */
  private static final Duration REFUSAL_LEAD_TIME = Duration.ofMillis(200);

  /**
   * A server counts as silent if it sends nothing for this many times its route's latency target.
   * Answers under load take up to twice the target; of the answers that are still missing after
   * three times the target, most never come.
   */
  private static final int SILENCE_TARGET_MULTIPLE = 3;

  /**
   * The shortest silence after which a streaming server counts as silent. Callers abandon a stream
   * after two seconds of silence; the other half of that time remains for the failover.
   */
  private static final Duration MIN_STREAM_SILENCE = Duration.ofMillis(1000);

  /**
   * The maximum size of all answers together that are collected before they are sent. A few servers
   * that send without end must not fill the memory.
   */
  private static final long MAX_BUFFERED_BYTES = 6 << 20;

  /** Interval of the checks of servers and requests in quarantine while requests are open. */
  private static final Duration ACTIVE_INTERVAL = Duration.ofMillis(100);

  /** The same while no request is open. */
  private static final Duration IDLE_INTERVAL = Duration.ofMillis(250);

  /** Callers aren't told to stay away for longer because of limits, which may end at any time. */
  private static final Duration MAX_TURN = Duration.ofSeconds(5);

  private static final Problem CRASHED_SERVERS =
      Problem.of(ErrorKind.QUARANTINED, "it has crashed several backend servers");

  /**
   * A request that was admitted and may be sent to a backend server.
   *
   * @param trial whether it is sent once although a part of its prompt is quarantined
   * @param mayHaveRun whether another instance may have sent it to a server before
   */
  record Admitted(
      CallerRequest request,
      Route route,
      Optional<PrepaidCustomer> customer,
      String service,
      int tokensPerEvent,
      long planVersion,
      Instant arrived,
      boolean trial,
      boolean mayHaveRun) {
    /** Returns this request with at most {@code attempts} servers to send it to. */
    Admitted withMaxAttempts(int attempts, boolean mayHaveRunBefore) {
      return new Admitted(
          request,
          route.withMaxAttempts(Math.min(attempts, route.maxAttempts())),
          customer,
          service,
          tokensPerEvent,
          planVersion,
          arrived,
          trial,
          mayHaveRunBefore);
    }
  }

  /**
   * A request that arrived before the first configuration was known.
   *
   * @param refusedAt when it is refused if no configuration is known by then
   */
  private record EarlyRequest(HttpExchange exchange, Instant arrived, Instant refusedAt) {}

  private final GatewayComponents components;
  private final ServerSelector selector;
  private final IsolatedTasks isolatedTasks = new IsolatedTasks();
  private final List<EarlyRequest> earlyRequests = new ArrayList<>();
  private final Set<RequestFlow> flows = new LinkedHashSet<>();
  private final Map<String, RetryWindow> retryWindows = new HashMap<>();
  private final Map<String, RecentDurations> answerTimesByRoute = new HashMap<>();
  private final WaitingRequests waitingRequests = new WaitingRequests();
  private @Nullable DrainAdmission drainAdmission;
  private boolean placesPlainRequests;
  private boolean refusingAll;
  private boolean aborting;
  private long bufferedBytes;
  private Runnable dueListener = () -> {};

  public RequestDispatcher(GatewayComponents components) {
    this.components = components;
    this.selector =
        new ServerSelector(
            components.servers(),
            components.peerLoads(),
            components.cachedPrompts(),
            components.instances(),
            components.links().limits(),
            components.events(),
            components.random(),
            components.engineOptions(),
            this::memoryTokens);
    components.links().setListener(new LinkObserver());
  }

  private long memoryTokens(String service) {
    GatewayPlan plan = components.plan().get();
    return plan == null ? 0 : plan.service(service).map(PlannedService::memoryTokens).orElse(0L);
  }

  /** Keeps failures of this instance's paths apart from failures of servers. */
  private final class LinkObserver implements ServerLinks.Listener {
    @Override
    public void onPathLost(BackendServer server) {
      selector.forgetFailures(server);
    }

    @Override
    public void onUnreachable(BackendServer server) {
      components.quarantine().onUnreachable(server.incarnation());
      components.promptParts().onUnreachable(server.incarnation());
    }

    @Override
    public void onStatements(BackendServer server, ServerStatements statements) {
      if (statements.authoritative() || statements.maxRejections().isPresent()) {
        selector.onAnswerHead(server, statements.maxRejections(), components.clock().instant());
      }
    }
  }

  /** The number of requests that have no final answer yet. */
  public int openRequests() {
    return flows.size() + earlyRequests.size();
  }

  /**
   * The number of backend servers that get no requests because they failed or are far slower than
   * the others.
   */
  public int ejectedServers() {
    return selector.ejectedCount(components.clock().instant());
  }

  /**
   * From now on places requests to services without engines by the slots that are free at their
   * servers, and lets requests wait for which there is no room.
   */
  public void placePlainRequests() {
    placesPlainRequests = true;
  }

  /** The number of requests that wait until a server has room. */
  public int requestsWaitingForRoom() {
    return waitingRequests.size();
  }

  /** The number of prompts placed at engines that prompts of the other length use first. */
  public long promptsAtOtherEngines() {
    return selector.promptsAtOtherEngines();
  }

  /** The microseconds in which an average engine is taken to read a token of a prompt. */
  public long engineReadMicrosPerToken() {
    return selector.engineReadMicrosPerToken();
  }

  /** From now on admits only the requests that {@code admission} allows. */
  public void drain(DrainAdmission admission) {
    drainAdmission = admission;
  }

  /**
   * From now on refuses every request that has not run, including those that wait. If they were
   * kept, they would be cut off without an answer, or sent to a server that has no time left to run
   * them.
   */
  public void refuseAllNotRun() {
    refusingAll = true;
    handleDueEarlyRequests();
    new ArrayList<>(flows)
        .forEach(flow -> isolatedTasks.run(flow.request().id(), flow::refuseIfNotRun));
  }

  /**
   * Ends all requests: each caller whose answer has not begun gets an error that says whether its
   * request may have run, and answers that have begun are aborted.
   */
  public void abortAll() {
    aborting = true;
    new ArrayList<>(flows).forEach(flow -> isolatedTasks.run(flow.request().id(), flow::abort));
  }

  @Override
  public void handle(HttpExchange exchange) {
    Instant arrived = arrivedAt(exchange);
    if (components.plan().get() == null && !refusingAll) {
      Instant refusedAt = arrived.plus(maxWaitForPlan(exchange));
      EarlyRequest request = new EarlyRequest(exchange, arrived, refusedAt);
      earlyRequests.add(request);
      wake();
      exchange.onCallerDisconnect(() -> earlyRequests.remove(request));
    } else {
      handle(exchange, arrived);
    }
  }

  private void handle(HttpExchange exchange, Instant arrived) {
    Result<CallerRequest> read = components.dialect().read(exchange);
    switch (admit(read, arrived)) {
      case Result.Ok<Admitted> admitted -> start(exchange, admitted.value());
      case Result.Err<Admitted> refused -> refuse(exchange, read, refused.problem(), arrived);
    }
  }

  /**
   * Handles a request that another instance has handed over.
   *
   * @param maxAttempts how many servers it may be sent to, if its route allows no fewer
   */
  public void handleHandedOver(HttpExchange exchange, int maxAttempts) {
    Instant arrived = arrivedAt(exchange);
    Result<CallerRequest> read = components.dialect().read(exchange);
    switch (admit(read, arrived)) {
      case Result.Ok<Admitted> admitted ->
          start(exchange, admitted.value().withMaxAttempts(maxAttempts, false));
      case Result.Err<Admitted> refused -> refuse(exchange, read, refused.problem(), arrived);
    }
  }

  /**
   * Handles a repeatable request that another instance may have sent to servers. Whatever prevents
   * it from being sent again, its caller is told that it may have run.
   *
   * @param attemptsLeft how many servers it may be sent to
   */
  public void handleMayHaveRun(HttpExchange exchange, int attemptsLeft) {
    Instant arrived = arrivedAt(exchange);
    Result<CallerRequest> read = components.dialect().read(exchange);
    if (admit(read, arrived) instanceof Result.Ok<Admitted> admitted
        && tryRetry(admitted.value().service())) {
      run(exchange, admitted.value().withMaxAttempts(attemptsLeft, true));
    } else {
      respondMayHaveRun(exchange, "it is not sent again");
    }
  }

  /**
   * Goes on with a stream that another instance began and that was lost on the way: sends the
   * request to a server of the same software version, as if its caller took the stream up again.
   *
   * @param attemptsLeft how many servers it may be sent to
   * @return whether it goes on; otherwise the stream has not been changed
   */
  public boolean resume(HttpExchange exchange, BegunStream begun, int attemptsLeft) {
    if (!(components.dialect().read(exchange) instanceof Result.Ok<CallerRequest> read)) {
      return false;
    }
    Result<CallerRequest> resumed = Result.ok(read.value().resumedAfter(begun.lastEventId()));
    if (!(admit(resumed, arrivedAt(exchange)) instanceof Result.Ok<Admitted> admitted)
        || !admitted.value().route().resumable()
        || !tryRetry(admitted.value().service())) {
      return false;
    }
    run(
        exchange,
        new CallerAnswer(exchange, components.clock(), begun),
        admitted.value().withMaxAttempts(attemptsLeft, true));
    return true;
  }

  /** Answers a request that another instance may have sent to servers. */
  public void respondMayHaveRun(HttpExchange exchange, String detail) {
    refuse(
        exchange,
        components.dialect().read(exchange),
        Problem.of(ErrorKind.BACKEND_FAILED, detail),
        arrivedAt(exchange));
  }

  /** The caller's identifier of a request, for the log. */
  public String requestId(HttpExchange exchange) {
    return components.dialect().requestId(exchange);
  }

  private Instant arrivedAt(HttpExchange exchange) {
    return components.clock().instant().minus(exchange.timeSinceHead());
  }

  /**
   * Handles the requests that arrived before the first configuration and are now due.
   *
   * <p>If all instances restart at once, callers connect before any instance has read its
   * configuration. If these requests were refused, most callers would spend their only retry on the
   * refusal and fail, although the request could be served a moment later.
   */
  private void handleDueEarlyRequests() {
    Instant now = components.clock().instant();
    List<EarlyRequest> due =
        earlyRequests.stream()
            .filter(
                each ->
                    components.plan().get() != null
                        || refusingAll
                        || !now.isBefore(each.refusedAt()))
            .toList();
    earlyRequests.removeAll(due);
    for (EarlyRequest each : due) {
      String id = components.dialect().requestId(each.exchange());
      isolatedTasks.run(id, () -> handleOrAbort(each));
      isolatedTasks.forget(id);
    }
  }

  /** Handles a request, and closes its connection if that fails, as the server does. */
  private void handleOrAbort(EarlyRequest request) {
    try {
      handle(request.exchange(), request.arrived());
    } catch (RuntimeException e) {
      request.exchange().abort();
      throw e;
    }
  }

  /** Returns how long a request may wait so that its refusal arrives before its caller leaves. */
  private Duration maxWaitForPlan(HttpExchange exchange) {
    return components
        .dialect()
        .callerTimeout(exchange)
        .map(timeout -> Durations.longer(timeout.minus(REFUSAL_LEAD_TIME), timeout.dividedBy(2)))
        .map(longest -> Durations.shorter(MAX_WAIT_FOR_PLAN, longest))
        .orElse(MAX_WAIT_FOR_PLAN);
  }

  /** Sets what runs whenever a request begins to wait for something that {@link #tick} does. */
  public void onDue(Runnable listener) {
    dueListener = listener;
  }

  /** Makes {@link #tick} due, as a request waits for something that it does. */
  void wake() {
    dueListener.run();
  }

  /** Returns when {@link #tick} is due again, unless a request begins to wait before. */
  public Instant dueAt() {
    Instant now = components.clock().instant();
    if (!earlyRequests.isEmpty() || components.links().hasProbesDue()) {
      return Instant.MIN;
    }
    Instant first = now.plus(flows.isEmpty() ? IDLE_INTERVAL : ACTIVE_INTERVAL);
    for (RequestFlow flow : flows) {
      Instant due = flow.dueAt(now);
      first = due.isBefore(first) ? due : first;
    }
    return first;
  }

  /** Ends requests whose deadline has passed and retries those that wait. */
  public void tick() {
    if (!earlyRequests.isEmpty()) {
      handleDueEarlyRequests();
    }
    components.links().tick();
    selector.tick(components.clock().instant());
    components.quarantine().tick();
    components.promptParts().tick();
    Instant now = components.clock().instant();
    List<RequestFlow> due = new ArrayList<>();
    for (RequestFlow flow : flows) {
      if (!flow.dueAt(now).isAfter(now)) {
        due.add(flow);
      }
    }
    due.forEach(flow -> isolatedTasks.run(flow.request().id(), flow::tick));
    isolatedTasks.run("waiting requests", this::sendWaiting);
  }

  private void sendWaiting() {
    if (aborting) {
      return;
    }
    waitingRequests.send(components.clock().instant());
  }

  private void start(HttpExchange exchange, Admitted admitted) {
    retryWindow(admitted.service()).onFirstAttempt(admitted.arrived());
    run(exchange, admitted);
  }

  private void run(HttpExchange exchange, Admitted admitted) {
    run(exchange, new CallerAnswer(exchange, components.clock()), admitted);
  }

  private void run(HttpExchange exchange, CallerAnswer answer, Admitted admitted) {
    RequestFlow flow = new RequestFlow(components, this, exchange, answer, admitted);
    flows.add(flow);
    wake();
    flow.start();
  }

  private Result<Admitted> admit(Result<CallerRequest> request, Instant arrived) {
    GatewayPlan plan = components.plan().get();
    if (plan == null) {
      return retryableRefusal(
          ErrorKind.NOT_READY, "no configuration is known yet", STARTING_RETRY_AFTER);
    }
    return switch (request) {
      case Result.Err<CallerRequest> malformed -> Result.err(malformed.problem());
      case Result.Ok<CallerRequest> read -> admit(plan, read.value(), arrived);
    };
  }

  private Result<Admitted> admit(GatewayPlan plan, CallerRequest request, Instant arrived) {
    Optional<Route> route = plan.route(request.host(), request.target());
    if (route.isEmpty()) {
      return refuseByPlan(ErrorKind.UNKNOWN_SERVICE, "no route in version " + plan.version());
    }
    Optional<PrepaidCustomer> customer = request.key().flatMap(plan::customerOfKey);
    if (customer.isEmpty() && plan.hasCustomers() && !route.get().keyless()) {
      return refuseByPlan(ErrorKind.UNAUTHENTICATED, "key unknown in version " + plan.version());
    }
    if (hasCrashedServers(request)) {
      return Result.err(CRASHED_SERVERS);
    }
    Optional<String> part = quarantinedPart(request);
    boolean trial = part.isPresent() && components.promptParts().takeTrial(part.get());
    if (part.isPresent() && !trial) {
      return Result.err(partQuarantined(part.get()));
    }
    if (!admitsWhileDraining(route.get(), arrived.plus(maxDuration(request, route.get())))) {
      return Result.err(drainingProblem());
    }
    String service = route.get().drawService(components.random());
    int tokensPerEvent = plan.service(service).map(PlannedService::tokensPerEvent).orElse(0);
    return Result.ok(
        new Admitted(
            request,
            route.get(),
            customer,
            service,
            tokensPerEvent,
            plan.version(),
            arrived,
            trial,
            false));
  }

  /**
   * Returns the reason for which a request must not be sent to any server, if there is one.
   *
   * @param trial whether the request is sent although a part of its prompt is quarantined
   */
  Optional<Problem> quarantine(CallerRequest request, boolean trial) {
    if (hasCrashedServers(request)) {
      return Optional.of(CRASHED_SERVERS);
    }
    return trial
        ? Optional.empty()
        : quarantinedPart(request).map(RequestDispatcher::partQuarantined);
  }

  private boolean hasCrashedServers(CallerRequest request) {
    return components.quarantine().hasCounts()
        && components.quarantine().isQuarantined(request.fingerprint());
  }

  private Optional<String> quarantinedPart(CallerRequest request) {
    return request
        .prompt()
        .flatMap(prompt -> components.promptParts().quarantinedPart(prompt.sharedPartIds()));
  }

  private static Problem partQuarantined(String part) {
    return Problem.of(
        ErrorKind.QUARANTINED, "several backend servers crashed under prompt part " + part);
  }

  private boolean admitsWhileDraining(Route route, Instant deadline) {
    DrainAdmission drain = drainAdmission;
    if (drain == null) {
      return true;
    }
    Duration usualDuration = answerTimes(route).ninetiethPercentile();
    return !refusingAll && drain.admits(components.clock().instant(), deadline, usualDuration);
  }

  private RecentDurations answerTimes(Route route) {
    return answerTimesByRoute.computeIfAbsent(route.name(), name -> new RecentDurations());
  }

  /**
   * Refuses a request for what the plan lacks. A newer plan may have it if this one was not lately
   * known to be the newest, and then the caller may come back.
   */
  private Result<Admitted> refuseByPlan(ErrorKind kind, String detail) {
    return components.planAge().get().compareTo(MAX_PLAN_AGE) > 0
        ? retryableRefusal(
            ErrorKind.NOT_READY, detail + ", which may be outdated", OUTDATED_PLAN_RETRY_AFTER)
        : Result.err(Problem.of(kind, detail));
  }

  private Result<Admitted> retryableRefusal(ErrorKind kind, String detail, Duration retryAfter) {
    return Result.err(Problem.retryable(kind, detail, withJitter(retryAfter)));
  }

  private void refuse(
      HttpExchange exchange, Result<CallerRequest> read, Problem problem, Instant arrived) {
    HttpAnswer answer = components.dialect().refuse(problem);
    exchange.respond(answer.status(), answer.headers(), answer.body());
    GatewayPlan plan = components.plan().get();
    components
        .events()
        .accept(
            new GatewayEvent.RequestEnded(
                components.dialect().requestId(exchange),
                "",
                "",
                problem.kind().label(),
                answer.status(),
                problem.detail(),
                0,
                0,
                plan == null ? 0 : plan.version(),
                Duration.ZERO,
                Duration.between(arrived, components.clock().instant()),
                "",
                Duration.ZERO,
                fingerprint(read)));
  }

  private static String fingerprint(Result<CallerRequest> read) {
    return switch (read) {
      case Result.Ok<CallerRequest> request -> request.value().fingerprint();
      case Result.Err<CallerRequest> malformed -> "";
    };
  }

  /**
   * The longest time that a request may take: the lesser of its caller's timeout and its route's
   * timeout.
   */
  static Duration maxDuration(CallerRequest request, Route route) {
    return Durations.shorter(request.callerTimeout().orElse(route.timeout()), route.timeout());
  }

  /** The same for a request that has not been read. */
  public Duration maxDuration(HttpExchange exchange, Route route) {
    Duration callerTimeout = components.dialect().callerTimeout(exchange).orElse(route.timeout());
    return Durations.shorter(callerTimeout, route.timeout());
  }

  /** Whether requests that have not been sent to any server are refused. */
  boolean refusingAll() {
    return refusingAll;
  }

  /** The error for a request that has not run when the instance stops. */
  Problem drainingProblem() {
    DrainAdmission drain = drainAdmission;
    Duration retryAfter = drain == null ? STARTING_RETRY_AFTER : drain.retryAfter();
    return Problem.retryable(ErrorKind.DRAINING, "the instance stops", withJitter(retryAfter));
  }

  /** The answer to a request that arrives while its connection is being closed. */
  HttpAnswer drainingAnswer() {
    return components.dialect().refuse(drainingProblem());
  }

  void onAnswered(Route route, Duration took) {
    answerTimes(route).add(took);
  }

  ServerSelector selector() {
    return selector;
  }

  /**
   * How long a request has to wait until it is its turn at a server, if all servers of its service
   * name limits; zero if they don't.
   */
  Duration turnIn(RequestFlow flow) {
    Instant now = components.clock().instant();
    Optional<ServerSelector.LimitedService> limited = selector.limitedService(flow.service(), now);
    if (limited.isEmpty()) {
      return Duration.ZERO;
    }
    double ownPerSecond =
        limited.get().requestsPerSecond() / Math.max(1, components.instances().getAsInt());
    double turnSeconds = Math.min(MAX_TURN.toSeconds(), waitingBefore(flow) / ownPerSecond);
    Duration turn = Duration.ofMillis((long) (turnSeconds * 1000));
    Duration room = Durations.shorter(Duration.between(now, limited.get().roomAt()), MAX_TURN);
    return Durations.longer(turn, room);
  }

  private long waitingBefore(RequestFlow flow) {
    return flows.stream()
        .takeWhile(other -> other != flow)
        .filter(other -> other.waitsForServer() && other.service().equals(flow.service()))
        .count();
  }

  boolean tryRetry(String service) {
    return retryWindow(service)
        .tryRetry(components.clock().instant(), components.instances().getAsInt());
  }

  /**
   * Returns a retry that no server has seen.
   *
   * @param takenAt when it was taken
   */
  void returnRetry(String service, Instant takenAt) {
    retryWindow(service).returnRetry(takenAt);
  }

  /** How long a server of {@code route} may send nothing before it counts as silent. */
  Duration maxSilence(Route route) {
    Duration silence = Durations.times(route.aim(), SILENCE_TARGET_MULTIPLE);
    boolean tooShort = silence.compareTo(MIN_STREAM_SILENCE) < 0;
    return route.kind().streamed() && tooShort ? MIN_STREAM_SILENCE : silence;
  }

  /** Adds jitter to a suggested retry delay, so that the callers don't all return at once. */
  Duration withJitter(Duration retryAfter) {
    return RetryAfterJitter.addJitter(retryAfter, components.random());
  }

  /**
   * Reserves memory for a part of an answer. If there is none left, the largest answer is failed;
   * returns false and reserves nothing if that is the one which receives the part.
   */
  boolean tryBuffer(Attempt receiving, int bytes) {
    while (bufferedBytes + bytes > MAX_BUFFERED_BYTES) {
      Attempt largest = largestCollectedAnswer(receiving);
      if (largest == receiving) {
        return false;
      }
      isolatedTasks.run("answers that are too large", largest::failAsTooLarge);
    }
    bufferedBytes += bytes;
    return true;
  }

  private Attempt largestCollectedAnswer(Attempt receiving) {
    Attempt largest = receiving;
    for (RequestFlow flow : flows) {
      for (Attempt attempt : flow.openAttempts()) {
        largest = attempt.collectedBytes() > largest.collectedBytes() ? attempt : largest;
      }
    }
    return largest;
  }

  void releaseBuffered(int bytes) {
    bufferedBytes -= bytes;
  }

  void onEnded(RequestFlow flow) {
    flows.remove(flow);
    isolatedTasks.forget(flow.request().id());
    waitingRequests.remove(flow);
    sendWaiting();
  }

  boolean placesPlainRequests() {
    return placesPlainRequests;
  }

  WaitingRequests waitingRequests() {
    return waitingRequests;
  }

  private RetryWindow retryWindow(String service) {
    return retryWindows.computeIfAbsent(
        service,
        name ->
            new RetryWindow(
                components.retryLimits().retryShare(),
                components.retryLimits().retryReserve(),
                components.retryLimits().retryWindow()));
  }
}
