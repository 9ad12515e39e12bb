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
import org.teaseldeal.api.ErrorKind;
import org.teaseldeal.api.Problem;
import org.teaseldeal.api.Result;
import org.teaseldeal.decisions.ComeBackTime;
import org.teaseldeal.decisions.DrainAdmission;
import org.teaseldeal.decisions.RecentDurations;
import org.teaseldeal.decisions.RetryWindow;
import org.teaseldeal.gateway.event.GatewayEvent;
import org.teaseldeal.gateway.plan.GatewayPlan;
import org.teaseldeal.gateway.plan.PlannedService;
import org.teaseldeal.gateway.plan.PrepaidCustomer;
import org.teaseldeal.gateway.plan.Route;
import org.teaseldeal.net.HttpAnswer;
import org.teaseldeal.net.HttpExchange;
import org.teaseldeal.net.HttpHandler;

/** Takes requests in: finds their route and customer, and starts the flow of each. */
public final class RequestDesk implements HttpHandler {
  /**
   * When to come back to an instance that is starting: about the time that it takes to be ready.
   */
  private static final Duration COME_BACK_STARTING = Duration.ofMillis(500);

  /**
   * How long a request is kept for the first configuration, which is read some tens of milliseconds
   * after callers can connect. Longer than that, the store is away, and another instance may serve.
   */
  private static final Duration LONGEST_WAIT_FOR_PLAN = Duration.ofMillis(800);

  /**
   * A server that sends nothing for this many times the aim of its route counts as silent. Answers
   * under load take up to twice the aim; at three most of those still to come never will.
   */
  private static final int SILENT_AIMS = 3;

  /** Callers leave a stream after two seconds of silence; half of that is left to go on. */
  private static final Duration SHORTEST_STREAM_SILENCE = Duration.ofMillis(1000);

  /** A request that may be passed on. */
  record Admitted(
      RoutedRequest request,
      Route route,
      Optional<PrepaidCustomer> customer,
      String service,
      int tokensPerEvent,
      long planVersion,
      Instant arrived) {}

  /** A request that came before the first configuration was known. */
  private record EarlyRequest(HttpExchange exchange, Instant arrived) {}

  private final GatewayParts parts;
  private final ServerChoice choice;
  private final GuardedSteps guarded = new GuardedSteps();
  private final List<EarlyRequest> early = new ArrayList<>();
  private final Set<RequestFlow> flows = new LinkedHashSet<>();
  private final Map<String, RetryWindow> retries = new HashMap<>();
  private final Map<String, RecentDurations> answersOfRoutes = new HashMap<>();
  private @Nullable DrainAdmission draining;
  private boolean refusing;

  /** Creates a desk. */
  public RequestDesk(GatewayParts parts) {
    this.parts = parts;
    this.choice =
        new ServerChoice(
            parts.servers(), parts.othersLoad(), parts.cachedPrompts(), parts.random());
  }

  /** How many requests have no final answer yet. */
  public int open() {
    return flows.size() + early.size();
  }

  /** How many backend servers get no requests, as they failed or are far slower than others. */
  public int serversLeftOut() {
    return choice.leftOut(parts.clock().instant());
  }

  /** Takes from now on only what {@code admission} admits. */
  public void drain(DrainAdmission admission) {
    draining = admission;
  }

  /**
   * Refuses from now on everything that has not run, what waits included: it would be cut off
   * without an answer, or sent to a server that has no time left to run it.
   */
  public void refuseAll() {
    refusing = true;
    handleEarly();
    new ArrayList<>(flows).forEach(flow -> guarded.run(flow.request().id(), flow::refuseIfNotRun));
  }

  /** Ends all requests: says of each what is true, and breaks off the answers that have begun. */
  public void breakOffAll() {
    new ArrayList<>(flows).forEach(flow -> guarded.run(flow.request().id(), flow::breakOff));
  }

  @Override
  public void handle(HttpExchange exchange) {
    Instant arrived = parts.clock().instant().minus(exchange.sinceHead());
    if (parts.plan().get() == null && !refusing) {
      EarlyRequest request = new EarlyRequest(exchange, arrived);
      early.add(request);
      exchange.onCallerGone(() -> early.remove(request));
    } else {
      handle(exchange, arrived);
    }
  }

  private void handle(HttpExchange exchange, Instant arrived) {
    Result<RoutedRequest> read = parts.dialect().read(exchange);
    switch (admit(read, arrived)) {
      case Result.Ok<Admitted> admitted -> start(exchange, admitted.value());
      case Result.Err<Admitted> refused -> refuse(exchange, read, refused.problem(), arrived);
    }
  }

  /**
   * Goes on with requests that came before the first configuration.
   *
   * <p>Failure: all instances start again at once, and callers connect before any has read its
   * configuration. Symptom, if they were refused: most use up their one retry on that and fail,
   * though they could be served a moment later.
   */
  private void handleEarly() {
    Instant now = parts.clock().instant();
    List<EarlyRequest> due =
        early.stream()
            .filter(each -> parts.plan().get() != null || refusing || waitedLong(each, now))
            .toList();
    early.removeAll(due);
    due.forEach(each -> handle(each.exchange(), each.arrived()));
  }

  private static boolean waitedLong(EarlyRequest request, Instant now) {
    return !now.isBefore(request.arrived().plus(LONGEST_WAIT_FOR_PLAN));
  }

  /** Ends what takes too long and starts what waited. */
  public void tick() {
    handleEarly();
    choice.tick(parts.clock().instant());
    parts.quarantine().tick();
    new ArrayList<>(flows).forEach(flow -> guarded.run(flow.request().id(), flow::tick));
  }

  private void start(HttpExchange exchange, Admitted admitted) {
    RequestFlow flow = new RequestFlow(parts, this, exchange, admitted);
    flows.add(flow);
    window(admitted.service()).onFirst(admitted.arrived());
    flow.begin();
  }

  private Result<Admitted> admit(Result<RoutedRequest> request, Instant arrived) {
    GatewayPlan plan = parts.plan().get();
    if (plan == null) {
      return refusal(ErrorKind.NOT_READY, "no configuration is known yet", COME_BACK_STARTING);
    }
    return switch (request) {
      case Result.Err<RoutedRequest> malformed -> Result.err(malformed.problem());
      case Result.Ok<RoutedRequest> read -> admit(plan, read.value(), arrived);
    };
  }

  private Result<Admitted> admit(GatewayPlan plan, RoutedRequest request, Instant arrived) {
    Optional<Route> route = plan.route(request.host(), request.target());
    if (route.isEmpty()) {
      return Result.err(
          Problem.of(ErrorKind.UNKNOWN_SERVICE, "no route in version " + plan.version()));
    }
    Optional<PrepaidCustomer> customer = request.key().flatMap(plan::customerOfKey);
    if (customer.isEmpty() && plan.hasCustomers() && !route.get().keyless()) {
      return Result.err(
          Problem.of(ErrorKind.UNAUTHENTICATED, "key unknown in version " + plan.version()));
    }
    if (parts.quarantine().active() && parts.quarantine().holds(request.fingerprint())) {
      return Result.err(
          Problem.of(ErrorKind.QUARANTINED, "it has crashed several backend servers"));
    }
    if (!takes(route.get(), arrived.plus(longest(request, route.get())))) {
      return Result.err(stopping());
    }
    String service = route.get().drawService(parts.random());
    int tokensPerEvent = plan.service(service).map(PlannedService::tokensPerEvent).orElse(0);
    return Result.ok(
        new Admitted(
            request, route.get(), customer, service, tokensPerEvent, plan.version(), arrived));
  }

  private boolean takes(Route route, Instant deadline) {
    DrainAdmission drain = draining;
    if (drain == null) {
      return true;
    }
    Duration usual = answersOf(route).ofNearlyAll();
    return !refusing && drain.admits(parts.clock().instant(), deadline, usual);
  }

  private RecentDurations answersOf(Route route) {
    return answersOfRoutes.computeIfAbsent(route.name(), name -> new RecentDurations());
  }

  private Result<Admitted> refusal(ErrorKind kind, String detail, Duration comeBack) {
    return Result.err(Problem.retryable(kind, detail, spread(comeBack)));
  }

  private void refuse(
      HttpExchange exchange, Result<RoutedRequest> read, Problem problem, Instant arrived) {
    HttpAnswer answer = parts.dialect().refuse(problem);
    exchange.respond(answer.status(), answer.headers(), answer.body());
    GatewayPlan plan = parts.plan().get();
    parts
        .events()
        .accept(
            new GatewayEvent.RequestEnded(
                parts.dialect().requestId(exchange),
                "",
                "",
                problem.kind().label(),
                answer.status(),
                problem.detail(),
                0,
                0,
                plan == null ? 0 : plan.version(),
                Duration.ZERO,
                Duration.between(arrived, parts.clock().instant()),
                "",
                Duration.ZERO,
                fingerprint(read)));
  }

  private static String fingerprint(Result<RoutedRequest> read) {
    return switch (read) {
      case Result.Ok<RoutedRequest> request -> request.value().fingerprint();
      case Result.Err<RoutedRequest> malformed -> "";
    };
  }

  /** How long a request may take at most: as its caller waits, and its route allows. */
  static Duration longest(RoutedRequest request, Route route) {
    Duration patience = request.patience().orElse(route.timeout());
    return patience.compareTo(route.timeout()) < 0 ? patience : route.timeout();
  }

  /** Whether nothing is sent to a server for the first time any more. */
  boolean refusing() {
    return refusing;
  }

  /** What a caller is told whose request has not run as the instance stops. */
  Problem stopping() {
    DrainAdmission drain = draining;
    Duration comeBack = drain == null ? COME_BACK_STARTING : drain.comeBack();
    return Problem.retryable(ErrorKind.DRAINING, "the instance stops", spread(comeBack));
  }

  void onAnswered(Route route, Duration took) {
    answersOf(route).add(took);
  }

  ServerChoice choice() {
    return choice;
  }

  boolean tryRepeat(String service) {
    return window(service).tryRepeat(parts.clock().instant(), parts.instances().getAsInt());
  }

  Duration longestSilence(Route route) {
    Duration silence = route.aim().multipliedBy(SILENT_AIMS);
    boolean tooShort = silence.compareTo(SHORTEST_STREAM_SILENCE) < 0;
    return route.kind().streamed() && tooShort ? SHORTEST_STREAM_SILENCE : silence;
  }

  Duration spread(Duration comeBack) {
    return ComeBackTime.spread(comeBack, parts.random());
  }

  void onEnded(RequestFlow flow) {
    flows.remove(flow);
    guarded.forget(flow.request().id());
  }

  private RetryWindow window(String service) {
    return retries.computeIfAbsent(
        service,
        name ->
            new RetryWindow(
                parts.limits().retryShare(),
                parts.limits().retryReserve(),
                parts.limits().retryWindow()));
  }
}
