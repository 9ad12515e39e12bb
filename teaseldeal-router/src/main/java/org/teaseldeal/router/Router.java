package org.teaseldeal.router;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.random.RandomGenerator;
import org.teaseldeal.api.ErrorKind;
import org.teaseldeal.api.IncarnationId;
import org.teaseldeal.api.Problem;
import org.teaseldeal.cli.log.LogLine;
import org.teaseldeal.core.event.InstanceEvent;
import org.teaseldeal.net.HttpAnswer;
import org.teaseldeal.net.HttpClient;
import org.teaseldeal.net.HttpClientConfig;
import org.teaseldeal.net.HttpServer;
import org.teaseldeal.net.HttpServerConfig;
import org.teaseldeal.net.IpAddresses;
import org.teaseldeal.router.admin.AdminHandler;
import org.teaseldeal.router.admin.MetricsText;
import org.teaseldeal.router.backend.BackendCalls;
import org.teaseldeal.router.backend.EngineOrderCalls;
import org.teaseldeal.router.backend.LoadPoller;
import org.teaseldeal.router.backend.PlainServiceAddresses;
import org.teaseldeal.router.caller.CallerGateway;
import org.teaseldeal.router.caller.ProblemAnswer;
import org.teaseldeal.router.instance.Instance;
import org.teaseldeal.router.instance.InstanceLoop;
import org.teaseldeal.router.json.Json;
import org.teaseldeal.router.peer.PeerSender;
import org.teaseldeal.router.peer.PeerServer;
import org.teaseldeal.router.peer.PeerTimings;
import org.teaseldeal.router.platform.InstanceListPoller;
import org.teaseldeal.router.platform.LogClient;
import org.teaseldeal.router.platform.Registration;
import org.teaseldeal.router.settings.ListenSettings;
import org.teaseldeal.router.settings.RouterSettings;

/** A router: its HTTP and peer listeners, its clients and the event loop of its instance. */
final class Router implements AutoCloseable {
  private static final Duration DEREGISTRATION_TIMEOUT = Duration.ofSeconds(1);
  private static final Duration FLUSH_POLL_INTERVAL = Duration.ofMillis(5);

  /**
   * How long a draining router waits for the first request on a connection that was accepted last.
   * Callers send their request as soon as they are connected.
   */
  private static final Duration FIRST_REQUEST_GRACE = Duration.ofMillis(500);

  /** How long a router whose work is done waits for callers to close their connections. */
  private static final Duration CALLERS_CLOSE_TIME = Duration.ofMillis(500);

  /** Retry delay of refused callers: short, since other instances serve them. */
  private static final Duration RETRY_DELAY = Duration.ofMillis(100);

  private static final int MAX_ADMIN_CONNECTIONS = 64;

  private final RouterSettings settings;
  private final IncarnationId incarnation;
  private final MetricRegistry metrics = new MetricRegistry();
  private final HttpClient backendClient = new HttpClient(HttpClientConfig.defaults());
  private final HttpClient platformClient = new HttpClient(HttpClientConfig.defaults());
  private final DeferredEventSink events = new DeferredEventSink();
  private final CompletableFuture<Void> stopped = new CompletableFuture<>();
  private final AtomicBoolean draining = new AtomicBoolean();
  private final PeerServer peerServer;
  private final PeerSender peerSender;
  private final LoadPoller loadPoller;
  private final InstanceListPoller listPoller;
  private final InstanceLoop loop;
  private final HttpServer callers;
  private final HttpServer admin;
  private final Registration registration;
  private volatile boolean answersCutOff;

  /** Creates the core of an instance that other instances reach at a given peer address. */
  @FunctionalInterface
  interface InstanceFactory {
    Instance create(String peerAddress);
  }

  private Router(
      RouterSettings settings,
      IncarnationId incarnation,
      InstanceFactory factory,
      InstantSource clock,
      RandomGenerator random)
      throws IOException {
    this.settings = settings;
    this.incarnation = incarnation;
    PlainServiceAddresses plainAddresses = new PlainServiceAddresses();
    CallerGateway gateway = new CallerGateway(settings.limits(), events, metrics);
    peerServer =
        PeerServer.start(
            settings.peers().host(),
            settings.peers().port(),
            PeerTimings.standard(),
            events,
            metrics);
    peerSender = new PeerSender(incarnation, PeerTimings.standard(), random, metrics);
    loadPoller = new LoadPoller(backendClient, events, clock, random);
    listPoller =
        new InstanceListPoller(
            platformClient,
            settings.platform(),
            events,
            loadPoller::setEngines,
            plainAddresses,
            random,
            metrics);
    loop =
        new InstanceLoop(
            factory.create(peerAddress()),
            new CommandDispatcher(
                gateway,
                new BackendCalls(
                    backendClient,
                    events,
                    plainAddresses,
                    settings.limits().maxAnswerBytes(),
                    metrics),
                new EngineOrderCalls(backendClient, events),
                new LogClient(platformClient, settings.platform(), events),
                peerSender,
                () -> stopped.complete(null)),
            settings.tickInterval(),
            metrics);
    events.connect(loop);
    callers = HttpServer.start(callerConfig(), gateway, gateway::answer);
    admin = HttpServer.start(adminConfig(), adminHandler());
    registration =
        new Registration(
            platformClient, settings.platform(), settings.instance().name(), registrationEntry());
  }

  /**
   * Starts a router.
   *
   * @throws IOException if the router can't listen on a configured address
   */
  static Router start(
      RouterSettings settings,
      IncarnationId incarnation,
      InstanceFactory factory,
      InstantSource clock,
      RandomGenerator random)
      throws IOException {
    Router router = new Router(settings, incarnation, factory, clock, random);
    // The sockets are bound by now. The line is written before the platform is first called,
    // because a failure of that call is logged too and readers expect the addresses in the first
    // line.
    router.logAddresses();
    router.loop.start();
    router.listPoller.start();
    router.registration.start();
    return router;
  }

  private void logAddresses() {
    LogLine.of("listening")
        .with("instance", settings.instance())
        .with("incarnation", incarnation)
        .with("address", callerAddress())
        .with("peer_address", peerAddress())
        .with("admin_address", adminAddress())
        .info();
  }

  /** Returns the JSON object that announces the addresses on which the router listens. */
  ObjectNode announcement() {
    return Json.object()
        .put("event", "listening")
        .put("role", "router")
        .put("instance", settings.instance().name())
        .put("incarnation", incarnation.value())
        .put("address", callerAddress())
        .put("peer_address", peerAddress())
        .put("admin_address", adminAddress());
  }

  String callerAddress() {
    return advertisedAddress(settings.callers(), callers.address());
  }

  String peerAddress() {
    return advertisedAddress(settings.peers(), peerServer.address());
  }

  String adminAddress() {
    return advertisedAddress(settings.admin(), admin.address());
  }

  /** Returns whether the instance accepts new requests. */
  boolean ready() {
    return loop.ready();
  }

  /** Returns whether a drain has ended with requests unanswered. */
  boolean answersCutOff() {
    return answersCutOff;
  }

  /** Returns a future that completes once the instance has finished all work after a drain. */
  CompletableFuture<Void> stopped() {
    return stopped;
  }

  /** Starts a drain: refuses new requests from now on and lets those in flight finish. */
  void drain() {
    if (draining.compareAndSet(false, true)) {
      LogLine.of("draining").with("instance", settings.instance()).info();
      callers.closeAfterAnswers();
      registration.announceLeaving();
      events.accept(new InstanceEvent.DrainRequested());
    }
  }

  /**
   * Drains the router, waits for requests in flight up to the drain timeout, and closes the router.
   *
   * @return false if requests were aborted because the timeout passed
   */
  boolean drainAndClose() throws InterruptedException {
    long start = System.nanoTime();
    long deadline = start + settings.limits().drainTimeout().toNanos();
    drain();
    boolean complete = awaitStop(deadline);
    sleepUntil(Math.min(deadline, start + settings.limits().leaveGracePeriod().toNanos()));
    deregister();
    callers.stopAccepting();
    awaitFirstRequests(Math.min(deadline, System.nanoTime() + FIRST_REQUEST_GRACE.toNanos()));
    callers.closeIdleConnections(closingAnswer());
    complete = awaitAnswersWritten(deadline) && complete;
    awaitCallersClosed(Math.min(deadline, System.nanoTime() + CALLERS_CLOSE_TIME.toNanos()));
    boolean answered = awaitAnswersWritten(deadline);
    answersCutOff = !answered;
    complete = answered && complete;
    close();
    LogLine.of(complete ? "stopped" : "stopped with requests in flight").info();
    return complete;
  }

  @Override
  public void close() {
    callers.close();
    admin.close();
    listPoller.close();
    loadPoller.close();
    registration.close();
    peerServer.close();
    peerSender.close();
    loop.close();
    backendClient.close();
    platformClient.close();
  }

  private boolean awaitStop(long deadlineNanos) throws InterruptedException {
    try {
      stopped.get(deadlineNanos - System.nanoTime(), TimeUnit.NANOSECONDS);
      return true;
    } catch (TimeoutException | ExecutionException e) {
      return false;
    }
  }

  /**
   * Waits until every connection that has not sent a request yet has sent its first one.
   *
   * <p>The operating system may have accepted connections just before the router stopped listening.
   * Their callers are still sending a request and must get an answer to it.
   */
  private void awaitFirstRequests(long deadlineNanos) throws InterruptedException {
    while (callers.connectionsWithoutRequest() > 0 && System.nanoTime() < deadlineNanos) {
      Thread.sleep(FLUSH_POLL_INTERVAL);
    }
  }

  /**
   * Waits until all answers are written to their connections. The instance stops as soon as it has
   * handed over its last answers, which may be before they are written.
   *
   * @return false if the deadline passed first
   */
  private boolean awaitAnswersWritten(long deadlineNanos) throws InterruptedException {
    while (callers.unansweredRequests() > 0) {
      if (System.nanoTime() > deadlineNanos) {
        return false;
      }
      Thread.sleep(FLUSH_POLL_INTERVAL);
    }
    return true;
  }

  /**
   * Waits until the callers have closed their connections.
   *
   * <p>The caller of a kept connection may have sent a request before it saw the end of the
   * connection. If the process ended first, the request would be reset, and the caller could lose
   * the answer that tells it to send the request elsewhere.
   */
  private void awaitCallersClosed(long deadlineNanos) throws InterruptedException {
    while (callers.openConnections() > 0 && System.nanoTime() < deadlineNanos) {
      Thread.sleep(FLUSH_POLL_INTERVAL);
    }
  }

  /**
   * Returns the answer to a request that arrives while its connection is being closed. The request
   * is not read, so it may have an idempotency key.
   */
  private HttpAnswer closingAnswer() {
    Problem problem =
        Problem.retryable(
            ErrorKind.DRAINING,
            "instance %s has shut down and did not run this attempt".formatted(settings.instance()),
            RETRY_DELAY);
    return ProblemAnswer.of(problem.forKeyedRequest(), Optional.empty());
  }

  private static void sleepUntil(long nanos) throws InterruptedException {
    Thread.sleep(Duration.ofNanos(Math.max(0, nanos - System.nanoTime())));
  }

  private void deregister() throws InterruptedException {
    try {
      registration.remove().get(DEREGISTRATION_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    } catch (TimeoutException | ExecutionException e) {
      LogLine.of("deregistration at the platform failed").with("cause", e).warn();
    }
  }

  private AdminHandler adminHandler() {
    return new AdminHandler(
        settings.adminCredential(), loop, new MetricsText(metrics), this::drain);
  }

  private HttpServerConfig callerConfig() {
    return new HttpServerConfig(
        settings.callers().host(),
        settings.callers().port(),
        settings.limits().maxConnections(),
        settings.limits().maxHeaderBytes(),
        settings.limits().maxBodyBytes(),
        settings.limits().requestTimeout(),
        settings.limits().idleTimeout());
  }

  private HttpServerConfig adminConfig() {
    return new HttpServerConfig(
        settings.admin().host(),
        settings.admin().port(),
        MAX_ADMIN_CONNECTIONS,
        settings.limits().maxHeaderBytes(),
        settings.limits().maxHeaderBytes(),
        settings.limits().requestTimeout(),
        settings.limits().idleTimeout());
  }

  private ObjectNode registrationEntry() {
    ObjectNode entry =
        Json.object()
            .put("incarnation", incarnation.value())
            .put("role", "router")
            .put("address", callerAddress())
            .put("peer_address", peerAddress())
            .put("data_centre", settings.dataCentre().name());
    if (isAdminReachable()) {
      entry.put("admin_address", adminAddress());
    }
    return entry;
  }

  /**
   * Returns whether operators can reach the admin listener. A listener on loopback can't be reached
   * from other hosts; it counts as reachable only if callers use loopback too, because then the
   * whole fleet runs on this host.
   */
  private boolean isAdminReachable() {
    return !admin.address().getAddress().isLoopbackAddress()
        || callers.address().getAddress().isLoopbackAddress();
  }

  private static String advertisedAddress(ListenSettings listen, InetSocketAddress bound) {
    return listen.advertised().orElseGet(() -> IpAddresses.format(bound));
  }
}
