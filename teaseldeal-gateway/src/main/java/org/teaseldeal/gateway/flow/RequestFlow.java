package org.teaseldeal.gateway.flow;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.teaseldeal.api.Durations;
import org.teaseldeal.api.ErrorKind;
import org.teaseldeal.api.Problem;
import org.teaseldeal.decisions.RoomQueue;
import org.teaseldeal.gateway.account.Reservation;
import org.teaseldeal.gateway.account.ReservationListener;
import org.teaseldeal.gateway.account.TokenRequests;
import org.teaseldeal.gateway.event.GatewayEvent;
import org.teaseldeal.gateway.path.ServerLinks.Way;
import org.teaseldeal.gateway.plan.PrepaidCustomer;
import org.teaseldeal.gateway.plan.Route;
import org.teaseldeal.gateway.quarantine.PromptPartQuarantine;
import org.teaseldeal.gateway.server.BackendServer;
import org.teaseldeal.gateway.server.ServerIncarnation;
import org.teaseldeal.net.EventSplitter;
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
  /**
   * A repeat that waits until it is known whether the request crashed the server of the previous
   * attempt.
   *
   * @param detail why the previous attempt failed
   */
  private record HeldRepeat(Instant until, String detail) {}

  /** The resource or event that the request currently waits for. */
  private enum Stage {
    /** The software version at which a stream that the caller takes up began. */
    STREAM_VERSION,
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

  private static final int FIRST_FAILURE_STATUS = 300;
  private static final int FIRST_SERVER_ERROR_STATUS = 500;

  /** The outcome of a request for which a backend server's answer was passed on. */
  private static final String ANSWERED = "answered";

  /**
   * How long a server is not chosen after a connection to it could not be opened: about the time
   * that a crashed server takes to restart.
   */
  private static final Duration UNREACHABLE_EXCLUSION = Duration.ofSeconds(1);

  /**
   * The silence after which a request is sent elsewhere if the path to its server is lost. An open
   * connection may outlive the path, so it counts as long as something arrives on it.
   */
  private static final Duration LOST_PATH_SILENCE = Duration.ofMillis(300);

  /** How long a full server is not chosen: long enough for a few of its requests to end. */
  private static final Duration FULL_EXCLUSION = Duration.ofMillis(100);

  /**
   * How long a server is not chosen after another server answered at its address. The address may
   * have been reassigned to a server of another service, which the server list shows after a while.
   *
   * <p>The exclusion is limited because the original server may return to its address without a
   * change in its listing. If it stayed excluded, the load would be spread over fewer servers until
   * the list changes.
   */
  private static final Duration ADDRESS_REUSED_EXCLUSION = Duration.ofSeconds(4);

  /**
   * How long a repeat waits for evidence that the request did not crash its server. By then the
   * crash is proved in most cases, and answers have cleared the parts that other prompts share.
   */
  private static final Duration MAX_REPEAT_HOLD = Duration.ofMillis(300);

  /**
   * How many connections may fail to open for one request. Each failure costs a connect timeout at
   * most.
   */
  private static final int MAX_CONNECT_FAILURES = 4;

  /**
   * How many servers' holders may refuse to send one request. Each refusal costs a round trip
   * between instances, and many instances may look for the same room.
   */
  private static final int MAX_REFUSALS_BY_HOLDERS = 4;

  /** How long a request waits until a server of its service is listed. */
  private static final Duration MAX_WAIT_FOR_SERVER = Duration.ofMillis(400);

  /**
   * The suggested delay before a retry if no server can take the request. A server takes some
   * seconds to restart.
   */
  private static final Duration NO_SERVER_RETRY_AFTER = Duration.ofMillis(500);

  /**
   * The suggested delay before a retry if all servers of the service are in evacuated data centres,
   * which takes seconds at least.
   */
  private static final Duration EVACUATED_RETRY_AFTER = Duration.ofSeconds(2);

  /**
   * The suggested delay before a retry if a server was full: its queue drains within a few answers.
   */
  private static final Duration FULL_RETRY_AFTER = Duration.ofMillis(150);

  /**
   * Tolerance when a call's timeout is compared with the request's deadline. The call's own timer
   * has a resolution of whole milliseconds and starts slightly after the request's.
   */
  private static final Duration TIMER_TOLERANCE = Duration.ofMillis(2);

  /** How often a silent server's request is checked: twice as long as a round of the loop. */
  private static final Duration SILENCE_CHECK_INTERVAL = Duration.ofMillis(40);

  /** How long before its caller stops waiting for the first part of an answer it is told. */
  private static final Duration CALLER_LEAVE_LEAD_TIME = Duration.ofMillis(200);

  /** A stream is aborted if its caller reads so slowly that more than this waits for it. */
  private static final long MAX_PENDING_BYTES = 1 << 20;

  private final GatewayComponents components;
  private final RequestDispatcher dispatcher;
  private final HttpExchange exchange;
  private final CallerAnswer answer;
  private final CallerRequest request;
  private final Route route;
  private final Optional<PrepaidCustomer> customer;
  private final String service;
  private final TokenUsage tokenUsage;
  private final CallerStream stream;
  private final RequestReports reports;
  private final boolean trial;

  /** Whether the request is placed as one to a service without engines. */
  private final boolean plain;

  private final Instant arrivedAt;
  private final Instant deadline;
  private final Set<ServerIncarnation> failedIncarnations = new HashSet<>();

  private Stage stage = Stage.STREAM_VERSION;
  private Reservation reservation = Reservation.NONE;
  private Duration tokenWait = Duration.ZERO;
  private Duration placementDelay = Duration.ZERO;
  private @Nullable String fingerprint;
  private int sendCount;
  private int connectFailures;
  private int refusalsByHolders;
  private boolean mayHaveRun;

  /** Whether it is this request's turn among those that wait for room. */
  private boolean hasTurn;

  private final OpenAttempts attempts = new OpenAttempts();
  private @Nullable HeldRepeat heldRepeat;
  private boolean promptPartsCleared;
  private Instant waitingForServerSince = Instant.MAX;
  private Instant checkedAt = Instant.MIN;

  RequestFlow(
      GatewayComponents components,
      RequestDispatcher dispatcher,
      HttpExchange exchange,
      CallerAnswer answer,
      RequestDispatcher.Admitted admitted) {
    this.components = components;
    this.dispatcher = dispatcher;
    this.exchange = exchange;
    this.answer = answer;
    this.request = admitted.request();
    this.route = admitted.route();
    this.customer = admitted.customer();
    this.service = admitted.service();
    this.tokenUsage = new TokenUsage(request.prompt(), admitted.tokensPerEvent());
    this.stream =
        new CallerStream(
            components, request, customer.map(PrepaidCustomer::name).orElse(""), service);
    this.reports =
        new RequestReports(components.events(), request, route, service, admitted.planVersion());
    this.trial = admitted.trial();
    this.mayHaveRun = admitted.mayHaveRun();
    this.plain =
        dispatcher.placesPlainRequests() && request.prompt().isEmpty() && !route.kind().streamed();
    this.arrivedAt = admitted.arrived();
    this.deadline = arrivedAt.plus(RequestDispatcher.maxDuration(request, route));
  }

  CallerRequest request() {
    return request;
  }

  Route route() {
    return route;
  }

  String service() {
    return service;
  }

  boolean hasEnded() {
    return stage == Stage.ENDED;
  }

  /** Returns the attempts that may still deliver the answer, as they are now. */
  List<Attempt> openAttempts() {
    return attempts.all();
  }

  /** Returns whether the request may be sent and waits for a server that has room. */
  boolean waitsForServer() {
    return stage == Stage.SERVER;
  }

  void start() {
    exchange.onCallerDisconnect(this::onCallerDisconnected);
    if (endIfDeadlinePassed()) {
      return;
    }
    if (route.kind().streamed() && request.resumption().isPresent()) {
      stream.resolve(this::onStreamResolved);
    } else {
      reserveTokens();
    }
  }

  private void onStreamResolved(CallerStream.Resolution resolution) {
    if (stage != Stage.STREAM_VERSION) {
      return;
    }
    switch (resolution) {
      case CallerStream.Resolution.Known known -> {
        if (dispatcher.selector().serves(service, known.version(), now())) {
          reserveTokens();
        } else {
          stream.reportObstacle(CallerStream.Obstacle.NO_SERVER_OF_VERSION);
          refuseResumption(noServerOf(known.version()), true);
        }
      }
      case CallerStream.Resolution.Refused refused ->
          refuseResumption(refused.detail(), refused.mayChange());
    }
  }

  private static String noServerOf(String version) {
    return "no server of software version " + version;
  }

  private void refuseResumption(String detail, boolean mayChange) {
    refuseOrFail(
        mayChange
            ? Problem.retryable(
                ErrorKind.STREAM_NOT_RESUMABLE,
                detail,
                dispatcher.withJitter(NO_SERVER_RETRY_AFTER))
            : Problem.of(ErrorKind.STREAM_NOT_RESUMABLE, detail));
  }

  private void reserveTokens() {
    stage = Stage.TOKENS;
    if (endIfAllEvacuated() || endIfNoneTakesRequests(Duration.ZERO)) {
      return;
    }
    if (customer.isPresent() && request.prompt().isPresent()) {
      reserve(customer.get().name(), request.prompt().get().maxTokens());
    } else {
      onReserved(Reservation.NONE);
    }
  }

  private void reserve(String name, long tokens) {
    TokenRequests requests = components.tokens();
    Instant waitingSince = answer.hasBegun() ? now() : arrivedAt;
    Instant callerTimeout =
        waitingSince.plus(route.silenceTimeout(Duration.between(waitingSince, deadline)));
    requests.reserve(name, tokens, callerTimeout, deadline, this);
    if (stage == Stage.TOKENS && requests.waitsLocally(name)) {
      reports.waitsForTokens(name, tokens, requests);
    }
  }

  @Override
  public void onReserved(Reservation granted) {
    reservation = granted;
    tokenWait = Duration.between(arrivedAt, now());
    stage = Stage.SERVER;
    waitingForServerSince = now();
    send();
  }

  @Override
  public void onRefused(Problem problem) {
    refuseOrFail(
        problem.retryAfter().isEmpty()
            ? problem
            : Problem.retryable(
                problem.kind(),
                problem.detail(),
                dispatcher.withJitter(problem.retryAfter().get())));
  }

  /**
   * Returns when {@link #tick} is due: in each round while the request waits for a server or for
   * the decision whether it is repeated, and otherwise when its deadline passes or its server may
   * count as silent.
   */
  Instant dueAt(Instant now) {
    if (heldRepeat != null || stage == Stage.SERVER) {
      return Instant.MIN;
    }
    Instant silentOrStalledAt = Instant.MAX;
    for (Attempt running : attempts) {
      Instant silentAt = running.lastReceivedAt().plus(LOST_PATH_SILENCE);
      Instant stalledAt = running.lastProgressAt().plus(dispatcher.maxSilence(route));
      silentOrStalledAt = earlier(silentOrStalledAt, earlier(silentAt, stalledAt));
    }
    // Whether a path is lost also depends on what other requests receive.
    return earlier(
        deadline,
        silentOrStalledAt.isAfter(now)
            ? silentOrStalledAt
            : checkedAt.plus(SILENCE_CHECK_INTERVAL));
  }

  private static Instant earlier(Instant one, Instant other) {
    return one.isBefore(other) ? one : other;
  }

  /**
   * Ends the request if its deadline has passed, retries the choice of a server if it waits for
   * one, and fails over if its server has become silent.
   */
  void tick() {
    if (stage == Stage.ENDED) {
      return;
    }
    checkedAt = now();
    if (endIfDeadlinePassed()) {
      return;
    }
    if (heldRepeat != null) {
      repeatUnlessSuspected(heldRepeat);
    } else if (stage == Stage.SERVER) {
      if (!dispatcher.waitingRequests().contains(this)) {
        send();
      }
    } else if (stage == Stage.ANSWER) {
      for (Attempt running : attempts.all()) {
        if (!running.relayed()) {
          components.links().onSilent(running.server(), running.silence());
        }
      }
      failOverIfSilent();
    }
  }

  /**
   * Refuses the request if it still waits for tokens or for a server and no server can have run it.
   */
  void refuseIfNotRun() {
    boolean waiting =
        stage == Stage.STREAM_VERSION || stage == Stage.TOKENS || stage == Stage.SERVER;
    if (waiting && !mayHaveRun) {
      refuse(dispatcher.drainingProblem());
    }
  }

  /** Ends the request immediately because the process is about to exit. */
  void abort() {
    refuseIfNotRun();
    if (stage == Stage.ENDED) {
      return;
    }
    fail(Problem.of(ErrorKind.BACKEND_FAILED, "the instance ended while it ran"));
  }

  /**
   * Sends the request, whose turn it is, if a server has room; returns whether it waits no more.
   */
  boolean sendInTurn() {
    hasTurn = true;
    send();
    hasTurn = false;
    return stage != Stage.SERVER;
  }

  /** Refuses the request, which waits for room, because it can't be served before its deadline. */
  void refuseOverdue() {
    giveUp(ErrorKind.OVERLOADED, "no server had room in time");
  }

  private void send() {
    if (endIfDeadlinePassed()) {
      return;
    }
    if (dispatcher.refusingAll() && !mayHaveRun) {
      refuse(dispatcher.drainingProblem());
      return;
    }
    Optional<Problem> quarantine = dispatcher.quarantine(request, trial && sendCount == 0);
    if (quarantine.isPresent()) {
      giveUp(quarantine.get().kind(), quarantine.get().detail());
      return;
    }
    if (plain && !hasTurn && dispatcher.waitingRequests().size(service) > 0) {
      waitForRoom();
      return;
    }
    ServerSelector.Criteria criteria = criteria();
    Optional<ServerSelector.Selection> chosen = dispatcher.selector().select(criteria, now());
    if (chosen.isEmpty()) {
      dispatcher.wake();
      if (plain && dispatcher.selector().hasCandidates(criteria, now())) {
        waitForRoom();
      } else {
        waitOrGiveUp();
      }
      return;
    }
    BackendServer server = chosen.get().server();
    Way way = components.links().way(server, connectFailures > 0);
    if (way == Way.NONE) {
      giveUp(ErrorKind.NO_BACKEND_SERVER, "no server can be reached, nor an instance that does");
      return;
    }
    sendTo(chosen.get(), way);
  }

  private void sendTo(ServerSelector.Selection chosen, Way way) {
    BackendServer server = chosen.server();
    stage = Stage.ANSWER;
    sendCount++;
    dispatcher.selector().onSent(server, now());
    if (attempts.isEmpty()) {
      placementDelay = Duration.between(arrivedAt, now());
    }
    components.events().accept(placedEvent(chosen, way));
    components.cachedPrompts().onSent(server.incarnation(), request.sharedPartIds(), now());
    request
        .prompt()
        .ifPresent(
            prompt -> dispatcher.selector().onPromptSent(chosen, prompt, route.aim(), now()));
    Attempt next =
        new Attempt(this, sendCount, components, chosen, route.kind().streamed(), way == Way.RELAY);
    attempts.add(next);
    next.start(
        new ForwardingTerms(
            server.id(),
            server.address(),
            customer.map(PrepaidCustomer::name),
            Duration.between(now(), deadline),
            rank(),
            answer.lastEventId().isEmpty() ? Optional.empty() : Optional.of(answer.lastEventId())));
  }

  private ServerSelector.Criteria criteria() {
    return criteria(failedIncarnations);
  }

  private ServerSelector.Criteria criteria(Set<ServerIncarnation> tried) {
    return new ServerSelector.Criteria(
        service,
        request.prompt(),
        route.aim(),
        tried,
        stream.version(),
        plain ? OptionalInt.of(rank()) : OptionalInt.empty());
  }

  private void waitForRoom() {
    WaitingRequests waiting = dispatcher.waitingRequests();
    if (waiting.contains(this)) {
      return;
    }
    double startsPerSecond = dispatcher.selector().startsPerSecond(service, now());
    Optional<Duration> retryAfter =
        waiting.offer(
            service,
            new RoomQueue.Entry<>(
                this,
                customer.map(PrepaidCustomer::name).orElse(""),
                rank(),
                deadline.minus(dispatcher.selector().usualDuration(service))),
            startsPerSecond,
            now());
    if (retryAfter.isPresent()) {
      giveUp(ErrorKind.OVERLOADED, "no server will have room in time", retryAfter.get());
      return;
    }
    reports.waitsForRoom(rank(), waiting.size(service), startsPerSecond);
  }

  private GatewayEvent.Placed placedEvent(ServerSelector.Selection chosen, Way way) {
    BackendServer server = chosen.server();
    long unshared = request.prompt().map(PromptDescription::unsharedTokens).orElse(0L);
    return new GatewayEvent.Placed(
        request.id(),
        service,
        server.id().name(),
        server.softwareVersion(),
        sendCount,
        server.running(),
        chosen.peerLoad().running(),
        Math.max(0, server.promptTokensAhead()) + chosen.peerLoad().promptTokensAhead(),
        Math.max(0, chosen.uncachedTokens() - unshared),
        chosen.loadAge(),
        chosen.candidates(),
        chosen.otherVersions(),
        resumeAfter(),
        stream.resumedAttempt(),
        fingerprint(),
        way == Way.RELAY,
        components.links().limits().announced().requestsPerSecond(server),
        dispatcher.selector().limitedServers(service));
  }

  /** The id of the last event that the caller has received; empty if it has received none. */
  private String resumeAfter() {
    return answer.lastEventId().isEmpty() ? stream.lastEventBefore() : answer.lastEventId();
  }

  private String fingerprint() {
    if (fingerprint == null) {
      fingerprint = request.fingerprint();
    }
    return fingerprint;
  }

  private int rank() {
    return customer.isPresent() && customer.get().rank().isPresent()
        ? customer.get().rank().getAsInt()
        : route.rank();
  }

  private void waitOrGiveUp() {
    if (endIfAllEvacuated()) {
      return;
    }
    Duration waiting = Duration.between(waitingForServerSince, now());
    Optional<String> version = stream.version();
    if (version.isPresent() && !dispatcher.selector().serves(service, version.get(), now())) {
      // The caller may find one sooner at another instance, or begin the stream anew.
      stream.reportObstacle(CallerStream.Obstacle.NO_SERVER_OF_VERSION);
      giveUp(ErrorKind.STREAM_NOT_RESUMABLE, noServerOf(version.get()));
      return;
    }
    if (endIfNoneTakesRequests(waiting)) {
      return;
    }
    if (dispatcher.selector().limitsRequests(service, now())) {
      // The servers would fail if they had to reject it.
      Duration turnIn = dispatcher.turnIn(this);
      if (waiting.plus(turnIn).compareTo(maxWaitForRoom()) > 0) {
        giveUp(
            ErrorKind.OVERLOADED,
            "the servers of the service can take no more requests",
            Durations.longer(turnIn, FULL_RETRY_AFTER));
      }
      return;
    }
    if (waiting.compareTo(MAX_WAIT_FOR_SERVER) > 0
        || !failedIncarnations.isEmpty()
        || connectFailures > 0) {
      giveUp(ErrorKind.NO_BACKEND_SERVER, "no server of the service can be reached");
    }
  }

  /** Ends the request if the operator has evacuated all servers of its service. */
  private boolean endIfAllEvacuated() {
    if (!components.servers().areAllEvacuated(service)) {
      return false;
    }
    giveUp(
        ErrorKind.NO_BACKEND_SERVER,
        "all servers of the service are in evacuated data centres",
        EVACUATED_RETRY_AFTER);
    return true;
  }

  /**
   * Ends the request if all servers that could run it leave, or asked this instance for a pause
   * that is longer than the request may wait.
   *
   * @param waited how long the request has waited for a server
   */
  private boolean endIfNoneTakesRequests(Duration waited) {
    ServerSelector selector = dispatcher.selector();
    ServerSelector.Criteria criteria = criteria();
    Instant now = now();
    if (selector.areAllLeaving(criteria, now)) {
      giveUp(ErrorKind.NO_BACKEND_SERVER, "all servers of the service leave");
      return true;
    }
    Optional<Duration> pause =
        selector.pausedUntil(criteria, now).map(until -> Duration.between(now, until));
    if (pause.isEmpty() || waited.plus(pause.get()).compareTo(maxWaitForRoom()) <= 0) {
      return false;
    }
    giveUp(
        ErrorKind.OVERLOADED,
        "all servers that could run it asked for a pause",
        Durations.longer(pause.get(), FULL_RETRY_AFTER));
    return true;
  }

  private Duration maxWaitForRoom() {
    return Durations.shorter(MAX_WAIT_FOR_SERVER, route.aim());
  }

  /**
   * Sends the request to another server as well if the present one has sent nothing for too long.
   *
   * <p>A server that loses power doesn't close its connections. Without this check its callers
   * would wait until their deadlines. A server may also pause and go on, so silence alone ends no
   * attempt: the first one that delivers a part of the answer is kept, and the others are cancelled
   * then. Only a caller whose answer has not begun is told that there is none, as it may still be
   * served by another instance: if its server can't be connected to either and no other one takes
   * the request, or right before it would leave by itself.
   */
  private void failOverIfSilent() {
    if (attempts.isEmpty()) {
      return;
    }
    Attempt newest = attempts.newest();
    boolean overdue = isOverdue(newest);
    boolean pathLost = hasLostItsPath(newest);
    if (!overdue && !pathLost) {
      return;
    }
    if (overdue && route.repeatable() && !answer.hasBegun() && callerIsAboutToLeave()) {
      fail(Problem.of(ErrorKind.BACKEND_FAILED, "silent until its caller would leave"));
      return;
    }
    if (overdue && route.repeatable() && hasEndedServer(newest)) {
      giveUpAttempt(newest, "silent, and its server has ended");
      return;
    }
    boolean replaced = sendToAnotherServer(newest);
    if ((overdue || replaced) && !newest.isLossRecorded()) {
      recordLoss(newest);
    }
    boolean unconnectable =
        !newest.relayed() && components.links().isUnconnectable(newest.server());
    if (!replaced && overdue && unconnectable && route.repeatable() && !answer.hasBegun()) {
      giveUpAttempt(newest, "silent, and its server can't be connected to");
    }
  }

  /** Returns whether the caller is about to leave, before its deadline, as nothing has arrived. */
  private boolean callerIsAboutToLeave() {
    Instant leavesAt = arrivedAt.plus(route.silenceTimeout(Duration.between(arrivedAt, deadline)));
    return leavesAt.isBefore(deadline) && !now().isBefore(leavesAt.minus(CALLER_LEAVE_LEAD_TIME));
  }

  private void giveUpAttempt(Attempt silent, String detail) {
    silent.cancel();
    onAttemptFailed(silent, AttemptFailure.MAY_HAVE_RUN, detail);
  }

  /** Returns whether a later process has replaced that of the attempt's server. */
  private boolean hasEndedServer(Attempt silent) {
    ServerIncarnation incarnation = silent.server().incarnation();
    return components
        .servers()
        .find(incarnation.id())
        .filter(listed -> !listed.incarnation().equals(incarnation))
        .isPresent();
  }

  /**
   * Sends the request to a server that can take it now, if there is one and a retry is allowed;
   * returns whether it did. The open attempts go on.
   */
  private boolean sendToAnotherServer(Attempt silent) {
    if (!mayBeSentAgain() || isThoughtToCrashServers(silent)) {
      return false;
    }
    Set<ServerIncarnation> tried = attempts.servers();
    tried.addAll(failedIncarnations);
    Optional<ServerSelector.Selection> other = dispatcher.selector().select(criteria(tried), now());
    if (other.isEmpty()) {
      return false;
    }
    Way way = components.links().way(other.get().server(), connectFailures > 0);
    if (way == Way.NONE || !takeRetry()) {
      return false;
    }
    sendTo(other.get(), way);
    return true;
  }

  /** Returns whether only a lack of servers or retries may keep the request from another one. */
  private boolean mayBeSentAgain() {
    return route.repeatable()
        && !dispatcher.refusingAll()
        && sendCount < route.maxAttempts()
        && connectFailures < MAX_CONNECT_FAILURES
        && refusalsByHolders < MAX_REFUSALS_BY_HOLDERS
        && !(plain && dispatcher.waitingRequests().size(service) > 0);
  }

  /** Returns whether the request must not be sent again; a mere suspicion counts for a while. */
  private boolean isThoughtToCrashServers(Attempt silent) {
    PromptPartQuarantine promptParts = components.promptParts();
    List<String> parts = request.sharedPartIds();
    Duration hold = dispatcher.maxSilence(route).plus(MAX_REPEAT_HOLD);
    return dispatcher.quarantine(request, false).isPresent()
        || promptParts.isRepeatedlyImplicated(parts)
        || (promptParts.isSuspected(parts) && silent.stalledFor().compareTo(hold) < 0);
  }

  /** Returns whether the answer can't arrive because the path to its server is lost. */
  private boolean hasLostItsPath(Attempt waiting) {
    return !waiting.relayed()
        && waiting.silence().compareTo(LOST_PATH_SILENCE) > 0
        && components.links().isLost(waiting.server());
  }

  private boolean isOverdue(Attempt waiting) {
    return waiting.stalledFor().compareTo(dispatcher.maxSilence(route)) > 0;
  }

  /** Records the time to the first event of an answer to a prompt. */
  void onFirstEvent(ServerSelector.Selection selection, Duration took) {
    dispatcher.selector().onFirstEvent(selection, took);
  }

  void onEvent(Attempt from, int status, Map<String, String> headers, EventSplitter.Event event) {
    if (stage == Stage.ENDED) {
      return;
    }
    if (event.hasData()) {
      keepOnly(from);
    } else if (!attempts.isOnly(from) && !(answer.hasBegun() && attempts.isOldest(from))) {
      // It may only keep the connection open, and so doesn't decide between the attempts.
      from.holdBack(event);
      return;
    }
    if (!answer.hasBegun()) {
      stream.onFirstEvent(from.server().softwareVersion(), route.resumable());
    }
    from.takeHeldBack().forEach(held -> answer.sendEvent(status, headers, held));
    answer.sendEvent(status, headers, event);
    if (answer.pendingBytes() > MAX_PENDING_BYTES) {
      abortStream("the caller reads too slowly");
      return;
    }
    if (!promptPartsCleared && !from.isBeginning()) {
      clearPromptParts();
    }
  }

  /** Cancels the other attempts, as {@code delivering} has brought the answer forward. */
  private void keepOnly(Attempt delivering) {
    for (Attempt other : attempts.except(delivering)) {
      reports.superseded(other, delivering);
      if (isOverdue(other) || hasLostItsPath(other)) {
        failedIncarnations.add(other.server().incarnation());
      }
      attempts.remove(other);
      cancelAttempt(other);
    }
  }

  private void clearPromptParts() {
    promptPartsCleared = true;
    components.promptParts().onAnswered(request.sharedPartIds());
  }

  /** Reserves memory for a part of an answer that is collected before it is sent. */
  boolean tryBuffer(Attempt receiving, int bytes) {
    return dispatcher.tryBuffer(receiving, bytes);
  }

  void releaseBuffered(int bytes) {
    dispatcher.releaseBuffered(bytes);
  }

  void onStreamEnd(Attempt from, int status, Map<String, String> headers) {
    if (stage == Stage.ENDED) {
      return;
    }
    keepOnly(from);
    recordAnswer(from, status);
    from.takeHeldBack().forEach(held -> answer.sendEvent(status, headers, held));
    answer.finish(status, headers);
    end(ANSWERED, status, "");
  }

  void onCompleteAnswer(Attempt from, int status, Map<String, String> headers, byte[] body) {
    if (stage == Stage.ENDED) {
      return;
    }
    boolean othersMayAnswer = !attempts.isOnly(from);
    if (answer.hasBegun() && !othersMayAnswer) {
      abortStream("a resumed stream was answered with status " + status);
      return;
    }
    boolean failed = status >= FIRST_SERVER_ERROR_STATUS && route.repeatable();
    if (othersMayAnswer ? failed || answer.hasBegun() : failed && takeRetry()) {
      onAttemptFailed(from, AttemptFailure.SERVER_ERROR, "status " + status);
      return;
    }
    keepOnly(from);
    recordAnswer(from, status);
    answer.respond(new HttpAnswer(status, headers, body));
    end(ANSWERED, status, "");
  }

  private void recordAnswer(Attempt last, int status) {
    mayHaveRun = true;
    if (status < FIRST_FAILURE_STATUS && !promptPartsCleared) {
      clearPromptParts();
    }
    dispatcher.onAnswered(route, Duration.between(arrivedAt, now()));
    if (components.quarantine().hasCounts()) {
      components.quarantine().onAnswered(fingerprint());
    }
    tokenUsage.onAttemptEnded(last);
    dispatcher.selector().onAnswered(last.server(), last.age(), expectedAnswerMillis());
    if (request.prompt().isPresent()) {
      dispatcher.selector().onPromptAnswered(last.server(), last.age());
    }
  }

  /**
   * The approximate time in milliseconds that an idle server needs for the answer. 1 for a request
   * without a prompt.
   */
  private double expectedAnswerMillis() {
    return 1
        + request.prompt().map(PromptDescription::unsharedTokens).orElse(0L)
            * MILLIS_PER_PROMPT_TOKEN
        + tokenUsage.outputTokensIn(answer.eventsSent()) * MILLIS_PER_OUTPUT_TOKEN;
  }

  void onAttemptFailed(Attempt failed, AttemptFailure reason, String detail) {
    if (stage == Stage.ENDED) {
      return;
    }
    attempts.remove(failed);
    // The path to the server may have to be probed.
    dispatcher.wake();
    reports.failed(failed, reason, detail);
    boolean refusedByHolders = reason == AttemptFailure.NOT_SENT && wasOfferedToHolders(failed);
    recordFailure(failed, reason, refusedByHolders);
    if (!attempts.isEmpty()) {
      if (reason == AttemptFailure.NOT_SENT && failed.number() > 1) {
        dispatcher.returnRetry(service, failed.startedAt());
      }
      return;
    }
    stage = Stage.SERVER;
    switch (reason) {
      case NOT_SENT -> {
        if (refusedByHolders) {
          onRefusedByHolders(detail);
        } else {
          resendIf(connectFailures < MAX_CONNECT_FAILURES, ErrorKind.NO_BACKEND_SERVER, detail);
        }
      }
      case OTHER_SERVER -> resendIf(takeRetry(), ErrorKind.NO_BACKEND_SERVER, detail);
      case NOT_RUN -> resendIf(takeRetry(), ErrorKind.OVERLOADED, detail);
      case SERVER_ERROR -> resendIf(true, ErrorKind.BACKEND_FAILED, detail);
      case MAY_HAVE_RUN -> onMayHaveRun(detail);
    }
  }

  /** Records what a failure says about the request, its server and the path to it. */
  private void recordFailure(Attempt failed, AttemptFailure reason, boolean refusedByHolders) {
    BackendServer server = failed.server();
    if (reason.provesNotRun()) {
      components.cachedPrompts().onNotRun(server.incarnation(), request.sharedPartIds());
    } else {
      mayHaveRun = true;
      tokenUsage.onAttemptEnded(failed);
    }
    boolean mayBeRelayed =
        reason == AttemptFailure.NOT_SENT && !failed.relayed() && components.links().hasRelays();
    if (!mayBeRelayed && !refusedByHolders) {
      failedIncarnations.add(server.incarnation());
    }
    switch (reason) {
      case NOT_SENT -> {
        sendCount--;
        if (!failed.relayed()) {
          server.onConnectFailed(now());
        }
        if (refusedByHolders) {
          refusalsByHolders++;
        } else {
          connectFailures++;
          server.excludeUntil(now().plus(UNREACHABLE_EXCLUSION));
        }
      }
      case OTHER_SERVER -> server.excludeUntil(now().plus(ADDRESS_REUSED_EXCLUSION));
      case NOT_RUN -> {
        server.excludeUntil(now().plus(FULL_EXCLUSION));
        dispatcher.selector().onRejected(server, now());
      }
      case SERVER_ERROR -> {}
      case MAY_HAVE_RUN -> recordLoss(failed);
    }
  }

  /** Whether an attempt was offered to the instances that have a share of what its server takes. */
  private boolean wasOfferedToHolders(Attempt failed) {
    return failed.relayed() && components.links().limits().announced().isLimited(failed.server());
  }

  /** The server is not at fault, so it is chosen again once a holder may have room. */
  private void onRefusedByHolders(String detail) {
    if (refusalsByHolders < MAX_REFUSALS_BY_HOLDERS && now().isBefore(deadline)) {
      send();
    } else {
      giveUp(ErrorKind.OVERLOADED, detail);
    }
  }

  /**
   * Records that an attempt that may have run won't be answered, or is silent; once, unless its
   * answer has come forward since.
   *
   * <p>An attempt that exceeded the deadline counts as a failure of its server only if the server
   * was silent for longer than the route allows. If every attempt that exceeded the deadline
   * counted, a route whose timeout is shorter than its requests take would get healthy servers
   * ejected for all routes.
   */
  private void recordLoss(Attempt lost) {
    BackendServer server = lost.server();
    if (!lost.relayed()) {
      server.onConnectionLost(lost.startedAt(), now());
    }
    if (lost.isLossRecorded()) {
      return;
    }
    lost.markLossRecorded();
    if (isDeadlinePassed() && !isOverdue(lost)) {
      return;
    }
    if (!lost.relayed()) {
      // The relay may have failed instead of the server.
      dispatcher.selector().onFailed(server);
    }
    components.quarantine().onConnectionLost(fingerprint(), server.incarnation());
    if (lost.isBeginning()) {
      components.promptParts().onConnectionLost(request.sharedPartIds(), server.incarnation());
    }
  }

  private boolean isDeadlinePassed() {
    return !now().isBefore(deadline.minus(TIMER_TOLERANCE));
  }

  private void onMayHaveRun(String detail) {
    if (isDeadlinePassed()) {
      fail(Problem.of(ErrorKind.DEADLINE_PASSED, detail));
    } else if (route.repeatable()
        && components.promptParts().isSuspected(request.sharedPartIds())) {
      dispatcher.wake();
      heldRepeat = new HeldRepeat(now().plus(MAX_REPEAT_HOLD), detail);
    } else {
      resendIf(route.repeatable() && takeRetry(), ErrorKind.BACKEND_FAILED, detail);
    }
  }

  private void repeatUnlessSuspected(HeldRepeat held) {
    PromptPartQuarantine promptParts = components.promptParts();
    boolean expired = !now().isBefore(held.until());
    if (promptParts.isSuspected(request.sharedPartIds()) && !expired) {
      return;
    }
    heldRepeat = null;
    boolean allowed = !promptParts.isRepeatedlyImplicated(request.sharedPartIds());
    resendIf(allowed && takeRetry(), ErrorKind.BACKEND_FAILED, held.detail());
  }

  /** Takes a retry out of the fleet's limit, if there is one. */
  private boolean takeRetry() {
    return sendCount < route.maxAttempts() && dispatcher.tryRetry(service);
  }

  private void resendIf(boolean allowed, ErrorKind errorKind, String detail) {
    if (allowed && now().isBefore(deadline)) {
      waitingForServerSince = now();
      send();
    } else {
      giveUp(errorKind, detail);
    }
  }

  /**
   * Answers with the strongest statement that is certain: the answer says that the request was not
   * run only if no server may have run it.
   */
  private void giveUp(ErrorKind kind, String detail) {
    giveUp(kind, detail, kind == ErrorKind.OVERLOADED ? FULL_RETRY_AFTER : NO_SERVER_RETRY_AFTER);
  }

  private void giveUp(ErrorKind kind, String detail, Duration retryAfter) {
    if (mayHaveRun) {
      fail(Problem.of(ErrorKind.BACKEND_FAILED, detail));
    } else if (kind.retryable()) {
      refuse(Problem.retryable(kind, detail, dispatcher.withJitter(retryAfter)));
    } else {
      refuse(Problem.of(kind, detail));
    }
  }

  private boolean endIfDeadlinePassed() {
    if (now().isBefore(deadline)) {
      return false;
    }
    onDeadlinePassed();
    return true;
  }

  private void onDeadlinePassed() {
    if (!attempts.isEmpty()) {
      fail(Problem.of(ErrorKind.DEADLINE_PASSED, "no whole answer by the deadline"));
    } else if (mayHaveRun) {
      fail(Problem.of(ErrorKind.DEADLINE_PASSED, "no server was found in time"));
    } else {
      refuse(Problem.of(ErrorKind.EXPIRED_WAITING, "not run by the deadline"));
    }
  }

  private void fail(Problem problem) {
    if (answer.hasBegun()) {
      abortStream(problem.detail());
    } else {
      refuse(problem);
    }
  }

  /** Refuses a request that waits, unless a server may have run it before. */
  private void refuseOrFail(Problem problem) {
    if (mayHaveRun) {
      fail(Problem.of(ErrorKind.BACKEND_FAILED, problem.detail()));
    } else {
      refuse(problem);
    }
  }

  private void refuse(Problem problem) {
    HttpAnswer refusal = components.dialect().refuse(problem);
    answer.respond(refusal);
    end(problem.kind().label(), refusal.status(), problem.detail());
  }

  /** Aborts the connection so that the caller can tell that the answer is incomplete. */
  private void abortStream(String detail) {
    answer.abort();
    end(ErrorKind.STREAM_BROKEN.label(), 0, detail);
  }

  private void onCallerDisconnected() {
    if (stage == Stage.ENDED) {
      return;
    }
    end("caller-gone", 0, "");
  }

  private void cancelAttempt(Attempt running) {
    mayHaveRun = true;
    tokenUsage.onAttemptEnded(running);
    running.cancel();
  }

  private void end(String outcome, int status, String detail) {
    if (stage == Stage.TOKENS && customer.isPresent()) {
      components.tokens().cancel(customer.get().name(), this);
    }
    stage = Stage.ENDED;
    for (Attempt open : attempts.all()) {
      attempts.remove(open);
      cancelAttempt(open);
    }
    long used = tokenUsage.usedTokens(answer.eventsSent());
    components.tokens().settle(reservation, used);
    dispatcher.onEnded(this);
    if (outcome.equals(ANSWERED)) {
      reports.answeredLateIfSo(answer, arrivedAt, now(), tokenWait, placementDelay);
    }
    reports.ended(
        customer.map(PrepaidCustomer::name).orElse(""),
        outcome,
        status,
        detail,
        sendCount,
        reservation.tokens() == 0 ? 0 : used,
        tokenWait,
        Duration.between(arrivedAt, now()),
        fingerprint());
  }

  private Instant now() {
    return components.clock().instant();
  }
}
