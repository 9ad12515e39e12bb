package org.teaseldeal.router;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.InstantSource;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.random.RandomGenerator;
import org.teaseldeal.api.IncarnationId;
import org.teaseldeal.cli.log.LogLine;
import org.teaseldeal.core.event.InstanceEvent;
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
import org.teaseldeal.router.backend.PlainAddresses;
import org.teaseldeal.router.caller.CallerGateway;
import org.teaseldeal.router.instance.Instance;
import org.teaseldeal.router.instance.InstanceLoop;
import org.teaseldeal.router.json.Json;
import org.teaseldeal.router.peer.PeerSender;
import org.teaseldeal.router.peer.PeerServer;
import org.teaseldeal.router.peer.PeerTimings;
import org.teaseldeal.router.platform.InstanceListPoller;
import org.teaseldeal.router.platform.LogIo;
import org.teaseldeal.router.platform.Registration;
import org.teaseldeal.router.settings.ListenSettings;
import org.teaseldeal.router.settings.RouterSettings;

/** One router: its listeners, its clients, and the loop between them. */
final class Router implements AutoCloseable {
  private static final Duration FAREWELL_BOUND = Duration.ofSeconds(1);
  private static final Duration FLUSH_POLL = Duration.ofMillis(5);

  /** Callers send their request as soon as they are connected. */
  private static final Duration LAST_CALL = Duration.ofMillis(500);

  private static final int ADMIN_CONNECTIONS = 64;

  private final RouterSettings settings;
  private final IncarnationId incarnation;
  private final MetricRegistry metrics = new MetricRegistry();
  private final HttpClient backendClient = new HttpClient(HttpClientConfig.defaults());
  private final HttpClient platformClient = new HttpClient(HttpClientConfig.defaults());
  private final EventDoor events = new EventDoor();
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

  /** Makes the core of an instance that is reached at a peer address. */
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
    PlainAddresses plainAddresses = new PlainAddresses();
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
                    backendClient, events, plainAddresses, settings.limits().answer(), metrics),
                new EngineOrderCalls(backendClient, events),
                new LogIo(platformClient, settings.platform(), events),
                peerSender,
                () -> stopped.complete(null)),
            settings.tickInterval(),
            metrics);
    events.open(loop);
    callers = HttpServer.start(callerConfig(), gateway, gateway::answer);
    admin = HttpServer.start(adminConfig(), adminHandler());
    registration =
        new Registration(
            platformClient, settings.platform(), settings.instance().name(), listEntry());
  }

  /**
   * Starts a router.
   *
   * @throws IOException if an address can't be had
   */
  static Router start(
      RouterSettings settings,
      IncarnationId incarnation,
      InstanceFactory factory,
      InstantSource clock,
      RandomGenerator random)
      throws IOException {
    Router router = new Router(settings, incarnation, factory, clock, random);
    // The sockets are bound, so this is true. Told later, the line could follow the first failed
    // call
    // of the platform, and a reader who takes the log's first line for the addresses would miss
    // them.
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

  /** The one line that says where the router listens. */
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
    return advertised(settings.callers(), callers.address());
  }

  String peerAddress() {
    return advertised(settings.peers(), peerServer.address());
  }

  String adminAddress() {
    return advertised(settings.admin(), admin.address());
  }

  /** Whether the instance takes new requests. */
  boolean ready() {
    return loop.ready();
  }

  /** Is done once the instance has nothing left to do after a drain. */
  CompletableFuture<Void> stopped() {
    return stopped;
  }

  /** Takes no new requests from now on, and lets those in flight end. */
  void drain() {
    if (draining.compareAndSet(false, true)) {
      LogLine.of("draining").with("instance", settings.instance()).info();
      callers.closeAfterAnswers();
      registration.leave();
      events.accept(new InstanceEvent.DrainRequested());
    }
  }

  /** Drains, waits as long as the settings allow, and closes; false if something was cut off. */
  boolean drainAndClose() throws InterruptedException {
    long start = System.nanoTime();
    long end = start + settings.limits().drain().toNanos();
    drain();
    boolean whole = awaitStop(end);
    sleepUntil(Math.min(end, start + settings.limits().leave().toNanos()));
    leaveList();
    callers.stopAccepting();
    awaitNewcomers(Math.min(end, System.nanoTime() + LAST_CALL.toNanos()));
    callers.stopReading();
    whole = awaitLastAnswers(end) && whole;
    close();
    LogLine.of(whole ? "stopped" : "stopped with requests in flight").info();
    return whole;
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

  private boolean awaitStop(long endNanos) throws InterruptedException {
    try {
      stopped.get(endNanos - System.nanoTime(), TimeUnit.NANOSECONDS);
      return true;
    } catch (TimeoutException | ExecutionException e) {
      return false;
    }
  }

  /**
   * Connections that the system had accepted were taken as the instance stopped listening; their
   * callers get an answer to what they are sending.
   */
  private void awaitNewcomers(long endNanos) throws InterruptedException {
    while (callers.newcomers() > 0 && System.nanoTime() < endNanos) {
      Thread.sleep(FLUSH_POLL);
    }
  }

  /** The instance is done when it has given its last answers away; they still have to leave. */
  private boolean awaitLastAnswers(long endNanos) throws InterruptedException {
    while (callers.unanswered() > 0) {
      if (System.nanoTime() > endNanos) {
        return false;
      }
      Thread.sleep(FLUSH_POLL);
    }
    return true;
  }

  private static void sleepUntil(long nanos) throws InterruptedException {
    Thread.sleep(Duration.ofNanos(Math.max(0, nanos - System.nanoTime())));
  }

  private void leaveList() throws InterruptedException {
    try {
      registration.remove().get(FAREWELL_BOUND.toMillis(), TimeUnit.MILLISECONDS);
    } catch (TimeoutException | ExecutionException e) {
      LogLine.of("the platform was not told of the end").with("cause", e).warn();
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
        settings.limits().connections(),
        settings.limits().header(),
        settings.limits().body(),
        settings.limits().requestTime(),
        settings.limits().idleTime());
  }

  private HttpServerConfig adminConfig() {
    return new HttpServerConfig(
        settings.admin().host(),
        settings.admin().port(),
        ADMIN_CONNECTIONS,
        settings.limits().header(),
        settings.limits().header(),
        settings.limits().requestTime(),
        settings.limits().idleTime());
  }

  private ObjectNode listEntry() {
    ObjectNode entry =
        Json.object()
            .put("incarnation", incarnation.value())
            .put("role", "router")
            .put("address", callerAddress())
            .put("peer_address", peerAddress())
            .put("data_centre", settings.dataCentre().name());
    if (adminCanBeReached()) {
      entry.put("admin_address", adminAddress());
    }
    return entry;
  }

  /** Operators elsewhere can't reach loopback, unless all of the fleet is on this host. */
  private boolean adminCanBeReached() {
    return !admin.address().getAddress().isLoopbackAddress()
        || callers.address().getAddress().isLoopbackAddress();
  }

  private static String advertised(ListenSettings listen, InetSocketAddress bound) {
    return listen.advertised().orElseGet(() -> IpAddresses.format(bound));
  }
}
