package org.teaseldeal.gateway.flow;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.teaseldeal.api.BackendServerId;
import org.teaseldeal.gateway.account.ClockReading;
import org.teaseldeal.gateway.account.HolderPort;
import org.teaseldeal.gateway.account.PrepaidAccounts;
import org.teaseldeal.gateway.account.TokenHolders;
import org.teaseldeal.gateway.account.TokenRequests;
import org.teaseldeal.gateway.event.GatewayEvent;
import org.teaseldeal.gateway.fake.FakeDialect;
import org.teaseldeal.gateway.fake.FakeExchange;
import org.teaseldeal.gateway.fake.ManualClock;
import org.teaseldeal.gateway.log.SharedNote;
import org.teaseldeal.gateway.path.AnnouncedLimits;
import org.teaseldeal.gateway.path.LeaveAnnouncements;
import org.teaseldeal.gateway.path.RequestedPauses;
import org.teaseldeal.gateway.path.ServerLimits;
import org.teaseldeal.gateway.path.ServerLinks;
import org.teaseldeal.gateway.path.ServerStatementHandler;
import org.teaseldeal.gateway.path.WarmUpLimits;
import org.teaseldeal.gateway.peer.PeerLoads;
import org.teaseldeal.gateway.plan.CallerLimits;
import org.teaseldeal.gateway.plan.GatewayPlan;
import org.teaseldeal.gateway.plan.PlannedService;
import org.teaseldeal.gateway.plan.Route;
import org.teaseldeal.gateway.plan.RouteKind;
import org.teaseldeal.gateway.plan.WeightedService;
import org.teaseldeal.gateway.quarantine.PromptPartQuarantine;
import org.teaseldeal.gateway.quarantine.RequestQuarantine;
import org.teaseldeal.gateway.server.BackendServer;
import org.teaseldeal.gateway.server.CachedPrompts;
import org.teaseldeal.gateway.server.ServerDirectory;
import org.teaseldeal.gateway.server.ServerListing;
import org.teaseldeal.gateway.stream.StreamKey;
import org.teaseldeal.gateway.stream.StreamOrigins;
import org.teaseldeal.gateway.stream.StreamPeers;
import org.teaseldeal.gateway.stream.VersionHistory;
import org.teaseldeal.net.AnswerEnd;
import org.teaseldeal.net.HttpCallRequest;
import org.teaseldeal.net.HttpFailure;
import org.teaseldeal.net.HttpListener;

/** A gateway in virtual time; the test receives and answers its requests to backend servers. */
final class GatewayFixture {
  static final String SERVICE = "register";

  /** The path prefixes of the two routes: requests run at most once, and repeatable requests. */
  static final String ONCE_PATH = "/bid/";

  static final String REPEATABLE_PATH = "/hold/";

  /** The path prefix of a route whose requests may be sent to three servers. */
  static final String OFTEN_REPEATABLE_PATH = "/read/";

  /** The path prefix of a route whose streams may be resumed at a second server. */
  static final String STREAM_PATH = "/query/";

  /** The path prefix of a route whose streams may be resumed at a third server. */
  static final String LONG_STREAM_PATH = "/browse/";

  /** A request that the gateway sent to a server's address. */
  record SentRequest(HttpCallRequest request, HttpListener listener, AtomicBoolean cancelled) {
    SentRequest(HttpCallRequest request, HttpListener listener) {
      this(request, listener, new AtomicBoolean());
    }

    /** Whether the gateway has closed the connection of the request. */
    boolean wasCancelled() {
      return cancelled.get();
    }

    String address() {
      return request.address();
    }

    void loseAnswer() {
      listener.onFailure(HttpFailure.NO_ANSWER, "reset");
    }

    void answer() {
      answer(200);
    }

    /** Begins a stream with its first event. */
    void beginStream() {
      listener.onHead(200, Map.of());
      sendEvent(0);
    }

    void sendEvent(int id) {
      listener.onBodyPart(
          "id: %d\ndata: part %d\n\n".formatted(id, id).getBytes(StandardCharsets.UTF_8));
    }

    void endStream() {
      listener.onEnd(AnswerEnd.LAST_CHUNK);
    }

    /** Answers as a server that fails if it has to reject more than {@code maxRejections}. */
    void answerAsBrittle(int maxRejections) {
      listener.onHead(200, Map.of(FakeDialect.BRITTLE_HEADER, Integer.toString(maxRejections)));
      listener.onEnd(AnswerEnd.LENGTH);
    }

    /** Answers as a server that names a limit of requests a second. */
    void answerWithLimit(String limit) {
      listener.onHead(200, Map.of(FakeDialect.LIMIT_HEADER, limit));
      listener.onEnd(AnswerEnd.LENGTH);
    }

    /** Answers as a server that has no room for the request. */
    void rejectNotRun() {
      listener.onHead(503, Map.of(FakeDialect.NOT_RUN_HEADER, "full"));
      listener.onEnd(AnswerEnd.LENGTH);
    }

    /** Answers as a server that leaves. */
    void answerAsLeaving() {
      listener.onHead(200, Map.of(FakeDialect.LEAVING_HEADER, "1"));
      listener.onEnd(AnswerEnd.LENGTH);
    }

    /** Answers as a server that has no room and wants no further requests for a time. */
    void rejectWithPause(Duration pause) {
      listener.onHead(
          503,
          Map.of(
              FakeDialect.NOT_RUN_HEADER,
              "full",
              FakeDialect.PAUSE_HEADER,
              Long.toString(pause.toMillis())));
      listener.onEnd(AnswerEnd.LENGTH);
    }

    void answer(int status) {
      listener.onHead(status, Map.of());
      listener.onEnd(AnswerEnd.LENGTH);
    }
  }

  final ManualClock clock = new ManualClock();
  final ServerDirectory servers = new ServerDirectory();
  final List<SentRequest> sent = new ArrayList<>();
  final List<SentRequest> probes = new ArrayList<>();
  final List<GatewayEvent> events = new ArrayList<>();
  final GatewayPlan plan;
  final RequestDispatcher dispatcher;
  final PromptPartQuarantine promptParts;

  /** What the other instance answers if it is asked for a stream's version. */
  StreamPeers.Answer peerAnswer = new StreamPeers.Answer.Unknown();

  /** Whether the list of servers was read a short time ago. */
  boolean listIsCurrent = true;

  final VersionHistory versionHistory =
      new VersionHistory("instance-1", servers, note -> {}, clock, clock);
  final StreamOrigins streamOrigins =
      new StreamOrigins(
          "instance-1",
          () -> Set.of("instance-1", "instance-2"),
          new OnePeer(),
          versionHistory,
          () -> listIsCurrent ? clock.instant() : Instant.MIN,
          () -> true,
          clock);

  /** The requests in a second that a server tolerates while it warms up; 0 for no limit. */
  int warmUpLimit;

  final AnnouncedLimits announcedLimits =
      AnnouncedLimits.alone("instance-1", events::add, clock, new Random(1));

  /** The notes that this instance sent to the others. */
  final List<SharedNote> broadcasts = new ArrayList<>();

  final LeaveAnnouncements leaves =
      new LeaveAnnouncements("instance-1", servers, broadcasts::add, events::add);

  private final ServerLimits serverLimits =
      new ServerLimits(
          new WarmUpLimits(
              "instance-1",
              () -> ONLY_INSTANCE,
              name -> Optional.empty(),
              service -> warmUpLimit,
              clock),
          announcedLimits,
          new RequestedPauses(clock),
          clock);

  /** Whether the configuration has been read. */
  boolean configured = true;

  Duration planAge = Duration.ZERO;

  private static final Set<String> ONLY_INSTANCE = Set.of("instance-1");

  GatewayFixture() {
    this(50);
  }

  /**
   * Creates a gateway.
   *
   * @param retryReserve the retries that are allowed beyond a fifth of the requests
   */
  GatewayFixture(int retryReserve) {
    plan =
        new GatewayPlan(
            1,
            List.of(
                route("bid", ONCE_PATH, RouteKind.AT_MOST_ONCE, 1),
                route("hold", REPEATABLE_PATH, RouteKind.IDEMPOTENT, 2),
                route("read", OFTEN_REPEATABLE_PATH, RouteKind.IDEMPOTENT, 3),
                route("query", STREAM_PATH, RouteKind.STREAM, 2),
                route("browse", LONG_STREAM_PATH, RouteKind.STREAM, 3)),
            List.of(new PlannedService(SERVICE, 100, 0)),
            List.of(),
            CallerLimits.untilPublished());
    versionHistory.onLoaded(List.of(), true);
    ClockReading reading = new ClockReading(0, 0);
    TokenHolders holders = new TokenHolders("instance-1", () -> ONLY_INSTANCE);
    PrepaidAccounts accounts =
        new PrepaidAccounts(
            "instance-1",
            customer -> OptionalLong.empty(),
            holders,
            events::add,
            clock,
            reading,
            () -> reading,
            Optional::empty);
    RequestQuarantine quarantine =
        new RequestQuarantine("instance-1", servers::lists, events::add, clock);
    promptParts =
        new PromptPartQuarantine(
            "instance-1",
            () -> ONLY_INSTANCE,
            servers::lists,
            note -> {},
            events::add,
            clock,
            clock,
            new Random(1));
    dispatcher =
        new RequestDispatcher(
            new GatewayComponents(
                () -> configured ? plan : null,
                () -> planAge,
                servers,
                new TokenRequests(accounts, holders, new NoPeers(), () -> true, events::add, clock),
                quarantine,
                promptParts,
                streamOrigins,
                new FakeDialect(),
                new ServerLinks(
                    "instance-1",
                    (request, listener) -> {
                      SentRequest added = new SentRequest(request, listener);
                      sent.add(added);
                      return () -> added.cancelled().set(true);
                    },
                    (request, listener) -> {
                      throw new AssertionError("unexpected request to another instance");
                    },
                    List::of,
                    (request, listener) -> {
                      probes.add(new SentRequest(request, listener));
                      return () -> {};
                    },
                    server ->
                        new HttpCallRequest(
                            server.address(),
                            "GET",
                            "/health",
                            Map.of(),
                            new byte[0],
                            Duration.ofMillis(400)),
                    servers,
                    serverLimits,
                    new ServerStatementHandler(
                        (server, status, headers) -> FakeDialect.statements(status, headers),
                        serverLimits,
                        leaves,
                        events::add),
                    events::add,
                    clock,
                    new Random(1)),
                () -> PeerLoads.NONE,
                new CachedPrompts(),
                () -> 1,
                new RetryLimits(0.2, retryReserve, Duration.ofSeconds(10)),
                events::add,
                clock,
                new Random(1),
                EngineOptions.NONE));
  }

  void list(String id, String address, Instant start) {
    servers.put(
        new ServerListing(
            new BackendServerId(id),
            SERVICE,
            address,
            "hall-a",
            "v1",
            6,
            false,
            Optional.of(start)));
    dispatcher.tick();
  }

  BackendServer server(String id) {
    return servers.find(new BackendServerId(id)).orElseThrow();
  }

  /** Sends a caller's request and returns its exchange, which receives the answer. */
  FakeExchange call(String path) {
    FakeExchange exchange = new FakeExchange(path);
    dispatcher.handle(exchange);
    return exchange;
  }

  private static Route route(String name, String prefix, RouteKind kind, int maxAttempts) {
    return new Route(
        name,
        FakeDialect.HOST,
        prefix,
        kind,
        kind == RouteKind.STREAM,
        true,
        Duration.ofSeconds(5),
        Duration.ofSeconds(1),
        Duration.ofMillis(500),
        0,
        maxAttempts,
        List.of(new WeightedService(SERVICE, 1)));
  }

  /** Another instance, which gives {@link #peerAnswer} to every question. */
  private final class OnePeer implements StreamPeers {
    @Override
    public void announce(String instance, StreamKey stream, String version) {}

    @Override
    public void ask(String instance, StreamKey stream, Consumer<Answer> answer) {
      answer.accept(peerAnswer);
    }
  }

  /** A port without peers, for a single instance that holds every customer itself. */
  private static final class NoPeers implements HolderPort {
    @Override
    public void request(String holder, Request request, Consumer<Answer> answer) {
      throw new AssertionError("unexpected request to holder " + holder);
    }

    @Override
    public void returnTokens(String holder, String customer, long tokens) {
      throw new AssertionError("unexpected return of tokens to " + holder);
    }
  }
}
