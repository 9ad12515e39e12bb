package org.teaseldeal.gateway.path;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.teaseldeal.api.BackendServerId;
import org.teaseldeal.decisions.RelayPeers;
import org.teaseldeal.decisions.ServerPaths;
import org.teaseldeal.gateway.event.EventSink;
import org.teaseldeal.gateway.event.GatewayEvent;
import org.teaseldeal.gateway.server.BackendServer;
import org.teaseldeal.gateway.server.ServerDirectory;
import org.teaseldeal.gateway.server.ServerIncarnation;
import org.teaseldeal.gateway.server.ServerStatements;
import org.teaseldeal.net.AnswerEnd;
import org.teaseldeal.net.AnswerMatch;
import org.teaseldeal.net.AnswerOrigin;
import org.teaseldeal.net.HttpCall;
import org.teaseldeal.net.HttpCallRequest;
import org.teaseldeal.net.HttpFailure;
import org.teaseldeal.net.HttpListener;

/**
 * Sends requests to backend servers, and observes whether this instance's own paths to them work.
 * Requests to a server whose path is lost are sent through another instance.
 */
public final class ServerLinks {
  /** The way that a request takes to a server. */
  public enum Way {
    DIRECT,
    RELAY,
    /** Neither this instance nor another one that it knows of reaches the server. */
    NONE
  }

  /** Receives conclusions about servers that this instance can't reach. */
  public interface Listener {
    /** Called when this instance has lost its path; earlier failures may have been the path's. */
    void onPathLost(BackendServer server);

    /** Called when neither this instance nor the ones that it asked can connect to the server. */
    void onUnreachable(BackendServer server);

    /** Called with what the head of an answer to a request says about its server. */
    default void onStatements(BackendServer server, ServerStatements statements) {}
  }

  /**
   * The number of instances that have to report a server as unreachable, unless there are fewer.
   * One of them may have lost its own path as well.
   */
  private static final int UNREACHABLE_REPORTS = 2;

  /** The maximum number of instances that are asked to relay a request. */
  private static final int MAX_RELAYS = 4;

  /** The name of the paths in events about what this instance depends on. */
  private static final String DEPENDENCY = "backend servers, directly";

  private final String instance;
  private final BackendPort direct;
  private final BackendPort peers;
  private final Supplier<List<String>> peerAddresses;
  private final RelayPeers relays;
  private final BackendPort probes;
  private final Function<BackendServer, HttpCallRequest> probeRequests;
  private final ServerDirectory servers;
  private final ServerLimits limits;
  private final ServerStatementHandler statements;
  private final EventSink events;
  private final InstantSource clock;
  private final ServerPaths paths = new ServerPaths(new PathEvents());
  private final Map<BackendServerId, Set<String>> unreachableReports = new HashMap<>();
  private final Map<BackendServerId, String> lastRelays = new HashMap<>();
  private Listener pathListener = new NoListener();
  private long lastSeenChanges = -1;
  private long lastRelayedCall;
  private boolean allLost;

  /**
   * Creates the links of an instance.
   *
   * @param instance the name of this instance
   * @param direct sends requests on pooled connections
   * @param peers sends requests to other instances
   * @param peerAddresses supplies the addresses of the other instances
   * @param probes sends each request on a new connection
   * @param probeRequests creates a request that a server answers at once, with its timeout
   */
  public ServerLinks(
      String instance,
      BackendPort direct,
      BackendPort peers,
      Supplier<List<String>> peerAddresses,
      BackendPort probes,
      Function<BackendServer, HttpCallRequest> probeRequests,
      ServerDirectory servers,
      ServerLimits limits,
      ServerStatementHandler statements,
      EventSink events,
      InstantSource clock,
      RandomGenerator random) {
    this.instance = instance;
    this.direct = direct;
    this.peers = peers;
    this.peerAddresses = peerAddresses;
    this.relays = new RelayPeers(random);
    this.probes = probes;
    this.probeRequests = probeRequests;
    this.servers = servers;
    this.limits = limits;
    this.statements = statements;
    this.events = events;
    this.clock = clock;
  }

  /** Sets the only listener. */
  public void setListener(Listener newListener) {
    pathListener = newListener;
  }

  /**
   * Returns the way that a request to {@code server} takes.
   *
   * @param avoidDirect whether a connection for this request has failed, which may be the first
   *     sign of a partition
   */
  public Way way(BackendServer server, boolean avoidDirect) {
    if (!limits.hasRoom(server)) {
      return limits.hasOtherHolders(server) ? Way.RELAY : Way.NONE;
    }
    boolean lost = paths.isLost(server.id());
    if (!lost && !avoidDirect) {
      return Way.DIRECT;
    }
    if (hasRelays()) {
      return Way.RELAY;
    }
    return paths.canConnectNowhere() ? Way.NONE : Way.DIRECT;
  }

  /** The limits of requests to servers that take only so many. */
  public ServerLimits limits() {
    return limits;
  }

  /** Returns whether this instance knows others that may relay requests. */
  public boolean hasRelays() {
    return relays.hasUsable(peerAddresses.get(), clock.instant());
  }

  /**
   * Sends a request to {@code server} on this instance's own path, and reports its answer or
   * failure to {@code listener}.
   */
  public HttpCall sendDirectly(
      BackendServer server, HttpCallRequest request, HttpListener listener) {
    SentRequest sent = limits.onSent(server);
    HttpCall call = direct.send(request, new ObservedCall(server, sent, listener));
    return () -> {
      sent.onArrived();
      call.cancel();
    };
  }

  /**
   * Sends a request to {@code server} through another instance. An instance that refuses is
   * replaced by the next one. {@link HttpFailure#NOT_SENT} means that the request did not reach the
   * server by any of them.
   */
  public HttpCall sendThroughRelay(
      BackendServer server, HttpCallRequest request, HttpListener listener) {
    RelayAttempts attempts = new RelayAttempts(server, request, listener);
    attempts.sendToNext("no other instance can relay it");
    return attempts;
  }

  /** Returns whether this instance's own path to {@code server} is lost. */
  public boolean isLost(BackendServer server) {
    return paths.isLost(server.id());
  }

  /** Returns whether this instance can't open connections to {@code server}. */
  public boolean isUnconnectable(BackendServer server) {
    return paths.isUnconnectable(server.id());
  }

  /** Returns whether this instance reaches no server by itself, as far as it can tell. */
  public boolean areAllLost() {
    return paths.areAllLost();
  }

  /** Records that a request sent to {@code server} has received nothing for {@code silence}. */
  public void onSilent(BackendServer server, Duration silence) {
    paths.onSilent(server.id(), silence, clock.instant());
  }

  /** The number of listed servers that this instance can't reach by itself. */
  public int lostPaths() {
    return paths.lostCount();
  }

  /** Returns whether a probe is due or will be. */
  public boolean hasProbesDue() {
    return paths.hasProbesDue();
  }

  /** Takes changes of the server list into account and sends the probes that are due. */
  public void tick() {
    if (lastSeenChanges != servers.changes()) {
      lastSeenChanges = servers.changes();
      Set<BackendServerId> listed =
          servers.all().stream()
              .filter(BackendServer::isListedAsReady)
              .map(BackendServer::id)
              .collect(Collectors.toSet());
      paths.onListed(listed);
      unreachableReports.keySet().retainAll(listed);
      lastRelays.keySet().retainAll(listed);
      Set<ServerIncarnation> incarnations =
          servers.all().stream().map(BackendServer::incarnation).collect(Collectors.toSet());
      limits.retain(incarnations);
      statements.retain(incarnations);
    }
    for (BackendServerId id : paths.takeDueProbes(clock.instant())) {
      servers.find(id).ifPresentOrElse(this::probeUnlessPaused, () -> onUnlisted(id));
    }
    reportIfAllLostChanged();
  }

  /** Discards what is known of the path to a server that has been replaced under its id. */
  public void onReplaced(BackendServer earlier) {
    paths.onReplaced(earlier.id());
    unreachableReports.remove(earlier.id());
  }

  private void onUnlisted(BackendServerId id) {
    paths.onProbeFailed(id, ServerPaths.Evidence.NO_ANSWER, clock.instant());
  }

  private void probeUnlessPaused(BackendServer server) {
    Instant now = clock.instant();
    if (limits.pauses().isPaused(server, now)) {
      paths.postponeProbe(server.id(), limits.pauses().roomAt(server, now));
    } else {
      probe(server);
    }
  }

  private void probe(BackendServer server) {
    HttpCallRequest request = probeRequests.apply(server);
    new Probe(server, limits.announced().onSent(server)).send(request);
    if (paths.isLost(server.id())) {
      probeThroughRelay(server, request);
    }
  }

  /**
   * Asks another instance whether it reaches a server that this one doesn't. This tells a lost path
   * from a server that is down, and finds instances that can relay requests.
   */
  private void probeThroughRelay(BackendServer server, HttpCallRequest request) {
    Instant now = clock.instant();
    relays
        .chooseToTest(peerAddresses.get(), now)
        .ifPresent(peer -> new RelayedProbe(server, peer).send(request));
  }

  /** Asks an instance to relay a request, and reports what became of it. */
  private HttpCall sendToRelay(
      String peer,
      BackendServer server,
      HttpCallRequest request,
      HttpListener listener,
      RelayedCall.Outcome outcome) {
    long number = ++lastRelayedCall;
    return peers.send(
        new HttpCallRequest(
            peer,
            "POST",
            RequestRelay.PATH,
            RelayMessages.encode(instance, number, server, request),
            request.body(),
            request.timeout()),
        new RelayedCall(number, listener, outcome));
  }

  /**
   * Records that {@code reporter} can't connect to a server that this instance doesn't reach
   * either.
   */
  private void onReportedUnreachable(BackendServer server, String reporter) {
    lastRelays.remove(server.id(), reporter);
    Set<String> reporters = unreachableReports.computeIfAbsent(server.id(), id -> new HashSet<>());
    int needed = Math.clamp(peerAddresses.get().size(), 1, UNREACHABLE_REPORTS);
    if (reporters.add(reporter)
        && reporters.size() == needed
        && servers.lists(server.incarnation())) {
      pathListener.onUnreachable(server);
    }
  }

  private void onRelayed(BackendServer server, String peer) {
    relays.onRelayed(peer, clock.instant());
    lastRelays.put(server.id(), peer);
    unreachableReports.remove(server.id());
  }

  private void reportIfAllLostChanged() {
    boolean lost = paths.areAllLost();
    if (lost != allLost) {
      allLost = lost;
      events.accept(
          new GatewayEvent.Dependency(
              DEPENDENCY, !lost, paths.lostCount() + " of " + servers.all().size() + " lost"));
    }
  }

  private void onAnswerHead(
      BackendServer server, int status, Map<String, String> headers, Instant sentAt) {
    pathListener.onStatements(server, statements.onAnswer(server, status, headers, sentAt));
  }

  private String address(BackendServerId id) {
    return servers.find(id).map(BackendServer::address).orElse("");
  }

  private final class PathEvents implements ServerPaths.Listener {
    @Override
    public void onLost(BackendServerId server, ServerPaths.Evidence evidence) {
      events.accept(
          new GatewayEvent.ServerPath(
              server.name(), address(server), false, evidence.name(), Duration.ZERO));
      unreachableReports.remove(server);
      servers.find(server).ifPresent(pathListener::onPathLost);
    }

    @Override
    public void onRegained(BackendServerId server, Duration lostFor) {
      events.accept(new GatewayEvent.ServerPath(server.name(), address(server), true, "", lostFor));
    }
  }

  /** Derives from a request's outcome whether the path to its server works. */
  private final class ObservedCall implements HttpListener {
    private final BackendServer server;
    private final SentRequest sent;
    private final HttpListener listener;
    private final Instant sentAt = clock.instant();

    ObservedCall(BackendServer server, SentRequest sent, HttpListener listener) {
      this.server = server;
      this.sent = sent;
      this.listener = listener;
    }

    @Override
    public String callName() {
      return listener.callName();
    }

    @Override
    public AnswerMatch match(int status, Map<String, String> headers) {
      return listener.match(status, headers);
    }

    @Override
    public void onSkipped(int status, Map<String, String> headers, AnswerOrigin origin) {
      listener.onSkipped(status, headers, origin);
    }

    @Override
    public void onReceived(AnswerOrigin origin) {
      listener.onReceived(origin);
    }

    @Override
    public void onHead(int status, Map<String, String> headers) {
      sent.onArrived();
      paths.onReceived(server.id(), sentAt, clock.instant());
      onAnswerHead(server, status, headers, sentAt);
      listener.onHead(status, headers);
    }

    @Override
    public void onBodyPart(byte[] part) {
      paths.onReceived(server.id(), sentAt, clock.instant());
      listener.onBodyPart(part);
    }

    @Override
    public void onEnd(AnswerEnd end) {
      listener.onEnd(end);
    }

    @Override
    public void onFailure(HttpFailure failure, String detail) {
      if (failure == HttpFailure.NOT_SENT) {
        sent.onNotSent();
        paths.onConnectFailed(server.id(), clock.instant());
      } else {
        sent.onArrived();
        paths.onBroken(server.id(), clock.instant());
      }
      listener.onFailure(failure, detail);
    }
  }

  /** A request that is offered to one instance after the other until one relays it. */
  private final class RelayAttempts implements HttpCall, RelayedCall.Outcome {
    private final BackendServer server;
    private final HttpCallRequest request;
    private final HttpListener listener;
    private final Instant startedAt = clock.instant();
    private final Set<String> tried = new HashSet<>();
    private HttpCall call = () -> {};
    private String peer = "";
    private boolean cancelled;
    private int unreachable;

    RelayAttempts(BackendServer server, HttpCallRequest request, HttpListener listener) {
      this.server = server;
      this.request = request;
      this.listener = listener;
    }

    void sendToNext(String refusal) {
      Instant now = clock.instant();
      Duration timeLeft = request.timeout().minus(Duration.between(startedAt, now));
      Optional<String> next =
          tried.size() < MAX_RELAYS && timeLeft.isPositive() ? chooseRelay(now) : Optional.empty();
      if (next.isEmpty()) {
        limits.announced().onNoHolder(server);
        listener.onFailure(HttpFailure.NOT_SENT, refusal);
        return;
      }
      String asked = next.get();
      peer = asked;
      tried.add(asked);
      limits.announced().onOffered(server, asked);
      HttpCall sent = sendToRelay(asked, server, request.withTimeout(timeLeft), listener, this);
      // The call may have failed at once and been replaced by the next one.
      if (peer.equals(asked)) {
        call = sent;
      }
    }

    /** Prefers the instance that reached this server last: others may be partitioned from it. */
    private Optional<String> chooseRelay(Instant now) {
      List<String> candidates =
          limits.isLimited(server) ? limits.otherHolders(server) : peerAddresses.get();
      return Optional.ofNullable(lastRelays.get(server.id()))
          .filter(last -> candidates.contains(last) && !tried.contains(last))
          .or(() -> relays.choose(candidates, tried, now));
    }

    @Override
    public void cancel() {
      cancelled = true;
      call.cancel();
    }

    @Override
    public void onAnswered(int status, Map<String, String> headers) {
      onRelayed(server, peer);
      onAnswerHead(server, status, headers, startedAt);
    }

    @Override
    public void onRefused(String detail) {
      relays.onFailed(peer, clock.instant());
      lastRelays.remove(server.id(), peer);
      sendToNextUnlessCancelled(detail);
    }

    @Override
    public void onNotSendable(String detail) {
      sendToNextUnlessCancelled(detail);
    }

    @Override
    public void onNoRoom(Duration noRoomFor, String detail) {
      limits.announced().onNoRoom(server, peer, noRoomFor);
      sendToNextUnlessCancelled(detail);
    }

    @Override
    public void onUnreachable(String detail) {
      onReportedUnreachable(server, peer);
      if (++unreachable < UNREACHABLE_REPORTS) {
        sendToNextUnlessCancelled(detail);
      } else {
        listener.onFailure(HttpFailure.NOT_SENT, "by " + peer + ": " + detail);
      }
    }

    private void sendToNextUnlessCancelled(String detail) {
      if (!cancelled) {
        sendToNext("by " + peer + ": " + detail);
      }
    }

    @Override
    public void onNoAnswer(String detail) {
      listener.onFailure(HttpFailure.NO_ANSWER, "by " + peer + ": " + detail);
    }
  }

  /** The outcome of a probe that another instance relayed. */
  private final class RelayedProbe implements RelayedCall.Outcome {
    private final BackendServer server;
    private final String peer;
    private final CallUntilHead call = new CallUntilHead();

    RelayedProbe(BackendServer server, String peer) {
      this.server = server;
      this.peer = peer;
    }

    void send(HttpCallRequest request) {
      call.onSent(sendToRelay(peer, server, request, new IgnoredAnswer(), this));
    }

    @Override
    public void onAnswered(int status, Map<String, String> headers) {
      call.onHead();
      onRelayed(server, peer);
      statements.onProbeAnswer(server, status, headers);
    }

    @Override
    public void onRefused(String detail) {
      relays.onFailed(peer, clock.instant());
    }

    @Override
    public void onNotSendable(String detail) {}

    @Override
    public void onNoRoom(Duration noRoomFor, String detail) {}

    @Override
    public void onUnreachable(String detail) {
      onReportedUnreachable(server, peer);
    }

    @Override
    public void onNoAnswer(String detail) {}
  }

  /**
   * A call of which only the head of the answer matters. It is cancelled then, as the body may
   * never end.
   */
  private static final class CallUntilHead {
    private @Nullable HttpCall call;
    private boolean headReceived;

    void onSent(HttpCall sent) {
      call = sent;
      cancelIfAnswered();
    }

    void onHead() {
      headReceived = true;
      cancelIfAnswered();
    }

    private void cancelIfAnswered() {
      if (call != null && headReceived) {
        call.cancel();
      }
    }
  }

  private static final class IgnoredAnswer implements HttpListener {
    @Override
    public void onHead(int status, Map<String, String> headers) {}

    @Override
    public void onBodyPart(byte[] part) {}

    @Override
    public void onEnd(AnswerEnd end) {}

    @Override
    public void onFailure(HttpFailure failure, String detail) {}
  }

  private static final class NoListener implements Listener {
    @Override
    public void onPathLost(BackendServer server) {}

    @Override
    public void onUnreachable(BackendServer server) {}
  }

  /** A request whose answer shows only that the path works. */
  private final class Probe implements HttpListener {
    private final BackendServer server;
    private final SentRequest sent;
    private final CallUntilHead call = new CallUntilHead();
    private boolean answered;

    Probe(BackendServer server, SentRequest sent) {
      this.server = server;
      this.sent = sent;
    }

    void send(HttpCallRequest request) {
      call.onSent(probes.send(request, this));
    }

    @Override
    public void onHead(int status, Map<String, String> headers) {
      answered = true;
      sent.onArrived();
      call.onHead();
      statements.onProbeAnswer(server, status, headers);
      paths.onProbeAnswered(server.id(), clock.instant());
    }

    @Override
    public void onBodyPart(byte[] part) {}

    @Override
    public void onEnd(AnswerEnd end) {}

    /** Without another instance to ask, answers of other servers show that the path is not lost. */
    private void reportIfOthersAnswer() {
      if (peerAddresses.get().isEmpty() && paths.isLost(server.id()) && !paths.areAllLost()) {
        servers
            .find(server.id())
            .ifPresent(unreached -> onReportedUnreachable(unreached, instance));
      }
    }

    @Override
    public void onFailure(HttpFailure failure, String detail) {
      if (failure == HttpFailure.NOT_SENT) {
        sent.onNotSent();
      } else {
        sent.onArrived();
      }
      if (!answered) {
        reportIfOthersAnswer();
        paths.onProbeFailed(
            server.id(),
            failure == HttpFailure.NOT_SENT
                ? ServerPaths.Evidence.CONNECT_FAILED
                : ServerPaths.Evidence.NO_ANSWER,
            clock.instant());
      }
    }
  }
}
