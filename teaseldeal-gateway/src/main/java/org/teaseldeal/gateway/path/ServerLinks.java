package org.teaseldeal.gateway.path;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.teaseldeal.api.BackendServerId;
import org.teaseldeal.decisions.ServerPaths;
import org.teaseldeal.gateway.event.EventSink;
import org.teaseldeal.gateway.event.GatewayEvent;
import org.teaseldeal.gateway.server.BackendServer;
import org.teaseldeal.gateway.server.ServerDirectory;
import org.teaseldeal.net.AnswerEnd;
import org.teaseldeal.net.HttpCall;
import org.teaseldeal.net.HttpCallRequest;
import org.teaseldeal.net.HttpFailure;
import org.teaseldeal.net.HttpListener;

/** Sends requests to backend servers and observes whether this instance's paths to them work. */
public final class ServerLinks {
  /** The name of the paths in events about what this instance depends on. */
  private static final String DEPENDENCY = "backend servers, directly";

  private final BackendPort direct;
  private final BackendPort probes;
  private final Function<BackendServer, HttpCallRequest> probeRequests;
  private final ServerDirectory servers;
  private final EventSink events;
  private final InstantSource clock;
  private final ServerPaths paths = new ServerPaths(new PathEvents());
  private long lastSeenChanges = -1;
  private boolean allLost;

  /**
   * Creates the links of an instance.
   *
   * @param direct sends requests on pooled connections
   * @param probes sends each request on a new connection
   * @param probeRequests creates a request that a server answers at once, with its timeout
   */
  public ServerLinks(
      BackendPort direct,
      BackendPort probes,
      Function<BackendServer, HttpCallRequest> probeRequests,
      ServerDirectory servers,
      EventSink events,
      InstantSource clock) {
    this.direct = direct;
    this.probes = probes;
    this.probeRequests = probeRequests;
    this.servers = servers;
    this.events = events;
    this.clock = clock;
  }

  /** Sends a request to {@code server} and reports its answer or failure to {@code listener}. */
  public HttpCall send(BackendServer server, HttpCallRequest request, HttpListener listener) {
    return direct.send(request, new ObservedCall(server.id(), listener));
  }

  /** Records that a request sent to {@code server} has received nothing for {@code silence}. */
  public void onSilent(BackendServer server, Duration silence) {
    paths.onSilent(server.id(), silence, clock.instant());
  }

  /** The number of listed servers that this instance can't reach by itself. */
  public int lostPaths() {
    return paths.lostCount();
  }

  /** Takes changes of the server list into account and sends the probes that are due. */
  public void tick() {
    if (lastSeenChanges != servers.changes()) {
      lastSeenChanges = servers.changes();
      Set<BackendServerId> listed =
          servers.all().stream().map(BackendServer::id).collect(Collectors.toSet());
      paths.onListed(listed);
    }
    for (BackendServerId id : paths.takeDueProbes(clock.instant())) {
      servers.find(id).ifPresentOrElse(this::probe, () -> onUnlisted(id));
    }
    reportIfAllLostChanged();
  }

  /** Discards what is known of the path to a server that has been replaced under its id. */
  public void onReplaced(BackendServer earlier) {
    paths.onReplaced(earlier.id());
  }

  private void onUnlisted(BackendServerId id) {
    paths.onProbeFailed(id, ServerPaths.Evidence.NO_ANSWER, clock.instant());
  }

  private void probe(BackendServer server) {
    probes.send(probeRequests.apply(server), new Probe(server.id()));
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

  private String address(BackendServerId id) {
    return servers.find(id).map(BackendServer::address).orElse("");
  }

  private final class PathEvents implements ServerPaths.Listener {
    @Override
    public void onLost(BackendServerId server, ServerPaths.Evidence evidence) {
      events.accept(
          new GatewayEvent.ServerPath(
              server.name(), address(server), false, evidence.name(), Duration.ZERO));
    }

    @Override
    public void onRegained(BackendServerId server, Duration lostFor) {
      events.accept(new GatewayEvent.ServerPath(server.name(), address(server), true, "", lostFor));
    }
  }

  /** Derives from a request's outcome whether the path to its server works. */
  private final class ObservedCall implements HttpListener {
    private final BackendServerId server;
    private final HttpListener listener;
    private final Instant sentAt = clock.instant();

    ObservedCall(BackendServerId server, HttpListener listener) {
      this.server = server;
      this.listener = listener;
    }

    @Override
    public boolean acceptsAnswer(int status, Map<String, String> headers) {
      return listener.acceptsAnswer(status, headers);
    }

    @Override
    public void onHead(int status, Map<String, String> headers) {
      paths.onReceived(server, sentAt, clock.instant());
      listener.onHead(status, headers);
    }

    @Override
    public void onBodyPart(byte[] part) {
      paths.onReceived(server, sentAt, clock.instant());
      listener.onBodyPart(part);
    }

    @Override
    public void onEnd(AnswerEnd end) {
      listener.onEnd(end);
    }

    @Override
    public void onFailure(HttpFailure failure, String detail) {
      if (failure == HttpFailure.NOT_SENT) {
        paths.onConnectFailed(server, clock.instant());
      } else {
        paths.onBroken(server, clock.instant());
      }
      listener.onFailure(failure, detail);
    }
  }

  /** A request whose answer shows only that the path works. */
  private final class Probe implements HttpListener {
    private final BackendServerId server;
    private boolean answered;

    Probe(BackendServerId server) {
      this.server = server;
    }

    @Override
    public void onHead(int status, Map<String, String> headers) {
      answered = true;
      paths.onProbeAnswered(server, clock.instant());
    }

    @Override
    public void onBodyPart(byte[] part) {}

    @Override
    public void onEnd(AnswerEnd end) {}

    @Override
    public void onFailure(HttpFailure failure, String detail) {
      if (!answered) {
        paths.onProbeFailed(
            server,
            failure == HttpFailure.NOT_SENT
                ? ServerPaths.Evidence.CONNECT_FAILED
                : ServerPaths.Evidence.NO_ANSWER,
            clock.instant());
      }
    }
  }
}
