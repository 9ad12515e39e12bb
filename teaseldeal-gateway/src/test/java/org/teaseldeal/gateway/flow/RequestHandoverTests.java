package org.teaseldeal.gateway.flow;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.teaseldeal.api.BackendServerId;
import org.teaseldeal.decisions.HandoverPolicy;
import org.teaseldeal.gateway.event.GatewayEvent;
import org.teaseldeal.gateway.fake.FakeDialect;
import org.teaseldeal.gateway.fake.FakeExchange;
import org.teaseldeal.gateway.handover.HandoverReceiver;
import org.teaseldeal.gateway.handover.RequestHandover;
import org.teaseldeal.gateway.plan.GatewayPlan;
import org.teaseldeal.gateway.stream.StreamPeers;
import org.teaseldeal.net.AnswerEnd;
import org.teaseldeal.net.HttpCall;
import org.teaseldeal.net.HttpCallRequest;
import org.teaseldeal.net.HttpFailure;
import org.teaseldeal.net.HttpListener;
import org.teaseldeal.net.ResponseStream;

/** Tests two instances, the first of which is late, and the failures between them. */
class RequestHandoverTests {
  private static final String SIBLING = "10.0.1.2:9000";
  private static final Instant SERVER_START = Instant.ofEpochMilli(1_700_000_000_000L);

  private final GatewayFixture first = new GatewayFixture();
  private final GatewayFixture second = new GatewayFixture();
  private final List<PeerCall> calls = new ArrayList<>();
  private final HandoverPolicy policy = new HandoverPolicy(new Random(1));
  private Duration firstDelay = Duration.ofMillis(500);
  private Duration secondDelay = Duration.ZERO;
  private boolean secondTakesRequests = true;
  private @Nullable GatewayPlan secondPlan = second.plan;
  private boolean linkDown;
  private boolean receiverDown;
  private final HandoverReceiver receiver =
      new HandoverReceiver(
          second.dispatcher,
          () -> secondPlan,
          () -> secondTakesRequests,
          () -> secondDelay,
          new HandoverPolicy(new Random(2)),
          second.events::add);
  private final RequestHandover handover = sender("instance-1", policy);

  @BeforeEach
  void start() {
    first.list("i-1", "10.0.0.1:80", SERVER_START);
    second.list("i-1", "10.0.0.1:80", SERVER_START);
    policy.onWilling(SIBLING, first.clock.instant());
  }

  private RequestHandover sender(String instance, HandoverPolicy itsPolicy) {
    return new RequestHandover(
        instance,
        first.dispatcher,
        this::send,
        () -> List.of(SIBLING),
        () -> true,
        () -> firstDelay,
        () -> first.plan,
        itsPolicy,
        first.events::add,
        first.clock);
  }

  private HttpCall send(HttpCallRequest request, HttpListener listener) {
    if (linkDown) {
      listener.onFailure(HttpFailure.NOT_SENT, "refused");
      return () -> {};
    }
    PeerCall call = new PeerCall(request, listener);
    calls.add(call);
    if (!receiverDown) {
      receiver.handle(call);
    }
    return call::disconnect;
  }

  private Caller call(String path) {
    Caller caller = new Caller(path);
    handover.handle(caller);
    return caller;
  }

  private <E extends GatewayEvent> List<E> events(GatewayFixture instance, Class<E> type) {
    return instance.events.stream().filter(type::isInstance).map(type::cast).toList();
  }

  @Test
  void servesRequestsItselfWhileInTime() {
    firstDelay = Duration.ofMillis(10);
    call(GatewayFixture.ONCE_PATH);
    assertEquals(1, first.sent.size());
    assertEquals(List.of(), calls);
  }

  @Test
  void passesTheAnswerOfTheInstanceThatTookTheRequest() {
    Caller caller = call(GatewayFixture.ONCE_PATH);
    assertEquals(0, first.sent.size());
    assertEquals(1, receiver.openRequests());
    second.sent.getFirst().answer(201);
    assertEquals(201, caller.status());
    assertEquals(0, receiver.openRequests());
    assertEquals(0, handover.openRequests());
  }

  /** The time that a request waited at the first instance counts at the second one. */
  @Test
  void keepsTheDeadlineOfARequestThatWaitedBefore() {
    Caller caller = new Caller(GatewayFixture.ONCE_PATH, Duration.ofMillis(4_900));
    handover.handle(caller);
    second.clock.advance(Duration.ofMillis(150));
    second.dispatcher.tick();
    assertEquals(504, caller.status());
  }

  /** Guards against a request that can't be handed over and gets no answer at all. */
  @Test
  void servesTheRequestItselfIfItDoesNotFitIntoAMessage() {
    Caller caller = call(GatewayFixture.ONCE_PATH + "x".repeat(70_000));
    assertEquals(List.of(), calls);
    first.sent.getFirst().answer();
    assertEquals(200, caller.status());
    assertEquals(0, handover.openRequests());
  }

  /** The other instance's process ended before a byte of the request was sent. */
  @Test
  void servesTheRequestItselfIfTheOtherInstanceCannotBeReached() {
    linkDown = true;
    Caller caller = call(GatewayFixture.ONCE_PATH);
    first.sent.getFirst().answer();
    assertEquals(200, caller.status());
    assertEquals(1, events(first, GatewayEvent.HandoverRefused.class).size());
  }

  @Test
  void servesTheRequestItselfIfTheOtherInstanceIsLateToo() {
    secondDelay = Duration.ofMillis(400);
    call(GatewayFixture.ONCE_PATH);
    assertEquals(0, second.sent.size());
    assertEquals(1, first.sent.size());
  }

  @Test
  void servesTheRequestItselfIfTheOtherInstanceStops() {
    secondTakesRequests = false;
    call(GatewayFixture.ONCE_PATH);
    assertEquals(0, second.sent.size());
    assertEquals(1, first.sent.size());
  }

  /** A request must not be handled as only an older configuration allows. */
  @Test
  void servesTheRequestItselfIfTheOtherInstanceHasAnOlderPlan() {
    secondPlan = new GatewayPlan(0, List.of(), List.of(), List.of(), second.plan.limits());
    call(GatewayFixture.ONCE_PATH);
    assertEquals(0, second.sent.size());
    assertEquals(1, first.sent.size());
  }

  /**
   * The other instance's process ends after it took a request that must run at most once. The
   * request may have run, so it is not sent again, and the answer doesn't claim that it has not
   * run.
   */
  @Test
  void doesNotRunARequestAgainWhoseTakerEnded() {
    Caller caller = call(GatewayFixture.ONCE_PATH);
    calls.getFirst().fail(HttpFailure.NO_ANSWER);
    assertEquals(502, caller.status());
    assertEquals(0, first.sent.size());
  }

  /** Of the three attempts the other instance may have used two; one is left. */
  @Test
  void usesTheLastAttemptOfARepeatableRequestWhoseTakerEnded() {
    second.list("i-2", "10.0.0.2:80", SERVER_START);
    second.list("i-3", "10.0.0.3:80", SERVER_START);
    first.list("i-2", "10.0.0.2:80", SERVER_START);
    Caller caller = call(GatewayFixture.OFTEN_REPEATABLE_PATH);
    second.sent.getFirst().loseAnswer();
    assertEquals(2, second.sent.size());
    calls.getFirst().fail(HttpFailure.NO_ANSWER);
    assertEquals(1, first.sent.size());
    first.sent.getFirst().loseAnswer();
    assertEquals(502, caller.status());
    assertEquals(1, first.sent.size());
  }

  /** The request may have run at the other instance, so no answer may say that it has not. */
  @Test
  void saysThatARequestMayHaveRunIfItCannotBeSentAgain() {
    Caller caller = call(GatewayFixture.OFTEN_REPEATABLE_PATH);
    calls.getFirst().fail(HttpFailure.NO_ANSWER);
    first.sent.getFirst().listener().onFailure(HttpFailure.NOT_SENT, "refused");
    assertEquals(502, caller.status());
  }

  /** An answer that is cut in the middle must not look complete. */
  @Test
  void abortsAnAnswerThatIsCutInTheMiddle() {
    Caller caller = call(GatewayFixture.ONCE_PATH);
    PeerCall call = calls.getFirst();
    call.startStream(200, Map.of("teaseldeal-handover", "STREAM")).write(new byte[] {1});
    call.fail(HttpFailure.BROKEN_ANSWER);
    assertEquals(1, caller.streamedBytes);
    assertTrue(caller.streamAborted);
    assertFalse(caller.streamFinished);
  }

  /** The connection between the instances was closed in order, but not after the last part. */
  @Test
  void abortsAnAnswerThatEndsWithoutItsLastPart() {
    Caller caller = call(GatewayFixture.ONCE_PATH);
    PeerCall call = calls.getFirst();
    call.startStream(200, Map.of("teaseldeal-handover", "STREAM"));
    call.listener.onEnd(AnswerEnd.CONNECTION_CLOSED);
    assertTrue(caller.streamAborted);
    assertFalse(caller.streamFinished);
  }

  /**
   * Guards against a stream that is cut because the instance that took it stops, although its
   * caller's instance goes on and could resume it.
   */
  @Test
  void resumesAStreamWhoseTakerStops() {
    Caller caller = beginHandedOverStream();
    second.dispatcher.abortAll();
    assertFalse(caller.streamAborted);
    assertEquals(1, first.sent.size());
    assertEquals("4", first.sent.getFirst().request().headers().get(FakeDialect.RESUME_HEADER));
    assertEquals(0, handover.openRequests());
    first.sent.getFirst().listener().onHead(200, Map.of());
    first.sent.getFirst().sendEvent(5);
    first.sent.getFirst().endStream();
    assertTrue(caller.streamFinished);
    assertEquals(event(0) + event(4) + event(5), caller.streamed.toString(UTF_8));
  }

  /** Guards against a part of an event before the whole event, if the link breaks inside it. */
  @Test
  void passesNoPartOfAnEventOfAStreamThatMayGoOn() {
    Caller caller = call(GatewayFixture.LONG_STREAM_PATH);
    PeerCall call = calls.getFirst();
    first.peerAnswer = new StreamPeers.Answer.Known("v1");
    ResponseStream stream = call.startStream(200, Map.of("teaseldeal-handover", "STREAM"));
    stream.write((event(0) + "id: 1\ndata: pa").getBytes(UTF_8));
    assertEquals(event(0), caller.streamed.toString(UTF_8));
    call.fail(HttpFailure.BROKEN_ANSWER);
    assertEquals("0", first.sent.getFirst().request().headers().get(FakeDialect.RESUME_HEADER));
    assertFalse(caller.streamAborted);
  }

  /** Guards against a stream of two software versions. */
  @Test
  void abortsAStreamWhoseTakerStopsIfNoServerOfItsVersionIsLeft() {
    Caller caller = beginHandedOverStream("v2");
    second.dispatcher.abortAll();
    assertEquals(List.of(), first.sent);
    assertTrue(caller.streamAborted);
    assertEquals(0, caller.status());
  }

  /** Guards against a second status in the middle of an answer. */
  @Test
  void abortsAStreamThatNobodyCanResume() {
    Caller caller = beginHandedOverStream();
    first.servers.remove(new BackendServerId("i-1"));
    second.dispatcher.abortAll();
    assertTrue(caller.streamAborted);
    assertEquals(0, caller.status());
  }

  /** Guards against a stream that goes on from an unknown event. */
  @Test
  void abortsAStreamWithoutIdsWhoseTakerStops() {
    Caller caller = call(GatewayFixture.LONG_STREAM_PATH);
    second.sent.getFirst().listener().onHead(200, Map.of());
    second.sent.getFirst().listener().onBodyPart("data: part\n\n".getBytes(UTF_8));
    second.dispatcher.abortAll();
    assertEquals(List.of(), first.sent);
    assertTrue(caller.streamAborted);
  }

  /** Guards against more servers for one request than its route allows. */
  @Test
  void abortsAStreamWhoseTakerMayHaveUsedAllAttempts() {
    first.peerAnswer = new StreamPeers.Answer.Known("v1");
    Caller caller = call(GatewayFixture.STREAM_PATH);
    second.sent.getFirst().beginStream();
    second.dispatcher.abortAll();
    assertEquals(List.of(), first.sent);
    assertTrue(caller.streamAborted);
  }

  /** Guards against servers that work on a resumed stream whose caller has left. */
  @Test
  void cancelsAResumedStreamIfItsCallerLeaves() {
    Caller caller = beginHandedOverStream();
    second.dispatcher.abortAll();
    caller.leave();
    assertTrue(first.sent.getFirst().wasCancelled());
  }

  private Caller beginHandedOverStream() {
    return beginHandedOverStream("v1");
  }

  private Caller beginHandedOverStream(String version) {
    first.listIsCurrent = false;
    first.peerAnswer = new StreamPeers.Answer.Known(version);
    Caller caller = call(GatewayFixture.LONG_STREAM_PATH);
    second.sent.getFirst().beginStream();
    second.sent.getFirst().sendEvent(4);
    return caller;
  }

  private static String event(int id) {
    return "id: %d\ndata: part %d\n\n".formatted(id, id);
  }

  /**
   * Guards against sound answers that are ended because a single one fills the memory for answers
   * that are collected.
   */
  @Test
  void endsTheLargestAnswerIfThoseThatAreCollectedFillTheMemory() {
    Caller large = call(GatewayFixture.ONCE_PATH);
    Caller small = call(GatewayFixture.ONCE_PATH);
    Map<String, String> complete = Map.of("teaseldeal-handover", "COMPLETE");
    ResponseStream largeBody = calls.get(0).startStream(200, complete);
    ResponseStream smallBody = calls.get(1).startStream(200, complete);
    largeBody.write(new byte[(6 << 20) - 10]);
    smallBody.write(new byte[100]);
    assertEquals(502, large.status());
    smallBody.finish();
    assertEquals(200, small.status());
    assertEquals(100, small.answer().length);
  }

  @Test
  void passesTheEndOfAStream() {
    Caller caller = call(GatewayFixture.ONCE_PATH);
    ResponseStream stream =
        calls.getFirst().startStream(200, Map.of("teaseldeal-handover", "STREAM"));
    stream.finish();
    assertTrue(caller.streamFinished);
  }

  @Test
  void cancelsTheRequestIfItsCallerLeaves() {
    Caller caller = call(GatewayFixture.ONCE_PATH);
    caller.leave();
    assertEquals(0, receiver.openRequests());
    assertEquals(0, handover.openRequests());
    assertEquals(
        "caller-gone", events(second, GatewayEvent.RequestEnded.class).getLast().outcome());
  }

  /** The other instance is cut off after it took the request, and no connection is closed. */
  @Test
  void endsARequestWhoseAnswerNeverCame() {
    Caller caller = call(GatewayFixture.ONCE_PATH);
    first.clock.advance(Duration.ofSeconds(6));
    handover.tick();
    assertEquals(502, caller.status());
  }

  /** A message that arrives twice is run once, and its second answer is nobody's. */
  @Test
  void doesNotRunARepeatedMessageAgain() {
    call(GatewayFixture.ONCE_PATH);
    PeerCall again = new PeerCall(calls.getFirst().request, new NoListener());
    receiver.handle(again);
    assertEquals(1, second.sent.size());
    assertEquals(409, again.answeredStatus);
    assertEquals(1, events(second, GatewayEvent.HandoverRejected.class).size());
  }

  @Test
  void rejectsAMessageThatCannotBeRead() {
    PeerCall forged =
        new PeerCall(
            new HttpCallRequest(
                SIBLING, "POST", HandoverReceiver.PATH, Map.of(), new byte[] {1}, Duration.ZERO),
            new NoListener());
    receiver.handle(forged);
    assertEquals(400, forged.answeredStatus);
    assertEquals(1, events(second, GatewayEvent.HandoverRejected.class).size());
  }

  /** The instance stops before the answer arrives. Its caller is told that the request may run. */
  @Test
  void tellsCallersOfHandedOverRequestsThatTheyMayHaveRunWhenItEnds() {
    Caller caller = call(GatewayFixture.ONCE_PATH);
    assertEquals(1, handover.abortAll());
    assertEquals(502, caller.status());
    assertEquals(0, receiver.openRequests());
  }

  /** Guards against bodies that fill the memory, as each is kept twice while it is handed over. */
  @Test
  void servesRequestsItselfWhoseBodiesWouldFillTheMemory() {
    List<Caller> callers = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      callers.add(new Caller(GatewayFixture.ONCE_PATH, Duration.ZERO, new byte[2 << 20]));
      handover.handle(callers.getLast());
    }
    assertEquals(2, receiver.openRequests());
    assertEquals(1, first.sent.size());
    second.sent.getFirst().answer();
    handover.handle(new Caller(GatewayFixture.ONCE_PATH, Duration.ZERO, new byte[2 << 20]));
    assertEquals(1, first.sent.size());
  }

  /** Guards against bodies of several instances that fill the memory of the one that takes them. */
  @Test
  void takesNoBodiesBeyondItsBoundWhoeverSendsThem() {
    HandoverPolicy otherPolicy = new HandoverPolicy(new Random(3));
    otherPolicy.onWilling(SIBLING, first.clock.instant());
    RequestHandover other = sender("instance-3", otherPolicy);
    handover.handle(new Caller(GatewayFixture.ONCE_PATH, Duration.ZERO, new byte[2 << 20]));
    handover.handle(new Caller(GatewayFixture.ONCE_PATH, Duration.ZERO, new byte[2 << 20]));
    other.handle(new Caller(GatewayFixture.ONCE_PATH, Duration.ZERO, new byte[2 << 20]));
    assertEquals(2, receiver.openRequests());
    second.sent.getFirst().answer();
    first.clock.advance(Duration.ofMillis(600));
    other.handle(new Caller(GatewayFixture.ONCE_PATH, Duration.ZERO, new byte[2 << 20]));
    assertEquals(2, receiver.openRequests());
  }

  /**
   * Guards against callers that get no answer in their time from an instance that lost power after
   * it had taken their request, on a route whose timeout is longer.
   */
  @Test
  void answersByTheCallersOwnTimeoutIfTheOtherInstanceIsSilent() {
    Caller caller = new Caller(GatewayFixture.ONCE_PATH);
    caller.withCallerTimeout(Duration.ofSeconds(1));
    handover.handle(caller);
    first.clock.advance(Duration.ofMillis(900));
    handover.tick();
    assertEquals(0, caller.status());
    first.clock.advance(Duration.ofMillis(350));
    handover.tick();
    assertEquals(502, caller.status());
    assertEquals(0, handover.openRequests());
  }

  /**
   * Guards against requests that are sent to a server after their deadline, as the refusal of
   * another instance took until then.
   */
  @Test
  void sendsNoRequestWhoseDeadlinePassedAtAnotherInstance() {
    receiverDown = true;
    Caller caller = call(GatewayFixture.ONCE_PATH);
    first.clock.advance(Duration.ofSeconds(6));
    caller.withTimeSinceHead(Duration.ofSeconds(6));
    calls.getFirst().fail(HttpFailure.NOT_SENT);
    assertEquals(List.of(), first.sent);
    assertEquals(504, caller.status());
  }

  @Test
  void learnsOfInstancesByAsking() {
    HandoverPolicy unused = new HandoverPolicy(new Random(3));
    RequestHandover other = sender("instance-1", unused);
    other.handle(new Caller(GatewayFixture.ONCE_PATH));
    other.tick();
    assertEquals(Optional.of(SIBLING), unused.choose(Set.of(), first.clock.instant()));
  }

  /** A caller's request to the first instance. */
  private static final class Caller extends FakeExchange {
    private @Nullable Runnable onDisconnect;
    private final ByteArrayOutputStream streamed = new ByteArrayOutputStream();
    private int streamedBytes;
    private boolean streamFinished;
    private boolean streamAborted;

    Caller(String path) {
      this(path, Duration.ZERO);
    }

    Caller(String path, Duration waited) {
      this(path, waited, new byte[0]);
    }

    Caller(String path, Duration waited, byte[] body) {
      super(path, body);
      withTimeSinceHead(waited);
    }

    void leave() {
      if (onDisconnect != null) {
        onDisconnect.run();
      }
    }

    @Override
    public Optional<String> header(String name) {
      return name.equals("host") ? Optional.of(FakeDialect.HOST) : super.header(name);
    }

    @Override
    public List<Map.Entry<String, String>> headers() {
      return List.of(Map.entry("host", FakeDialect.HOST));
    }

    @Override
    public void onCallerDisconnect(Runnable action) {
      onDisconnect = action;
    }

    @Override
    public ResponseStream startStream(int status, Map<String, String> headers) {
      return new ResponseStream() {
        @Override
        public void write(byte[] part) {
          streamedBytes += part.length;
          streamed.writeBytes(part);
        }

        @Override
        public long pendingBytes() {
          return 0;
        }

        @Override
        public void finish() {
          streamFinished = true;
        }

        @Override
        public void abort() {
          streamAborted = true;
        }
      };
    }
  }

  /** A call of the first instance at the second one. */
  private static final class PeerCall extends FakeExchange {
    private final HttpCallRequest request;
    private final HttpListener listener;
    private @Nullable Runnable onDisconnect;
    private int answeredStatus;
    private boolean over;

    PeerCall(HttpCallRequest request, HttpListener listener) {
      super(request.path(), request.body());
      this.request = request;
      this.listener = listener;
    }

    @Override
    public String method() {
      return request.method();
    }

    void fail(HttpFailure failure) {
      over = true;
      listener.onFailure(failure, "the connection was closed");
    }

    void disconnect() {
      if (!over && onDisconnect != null) {
        over = true;
        onDisconnect.run();
      }
    }

    @Override
    public void onCallerDisconnect(Runnable action) {
      onDisconnect = action;
    }

    @Override
    public void respond(int status, Map<String, String> headers, byte[] body) {
      answeredStatus = status;
      if (!over) {
        over = true;
        listener.onHead(status, headers);
        listener.onBodyPart(body);
        listener.onEnd(AnswerEnd.LENGTH);
      }
    }

    @Override
    public ResponseStream startStream(int status, Map<String, String> headers) {
      listener.onHead(status, headers);
      return new ResponseStream() {
        @Override
        public void write(byte[] part) {
          listener.onBodyPart(part);
        }

        @Override
        public long pendingBytes() {
          return 0;
        }

        @Override
        public void finish() {
          over = true;
          listener.onEnd(AnswerEnd.LAST_CHUNK);
        }

        @Override
        public void abort() {
          fail(HttpFailure.BROKEN_ANSWER);
        }
      };
    }
  }

  private static final class NoListener implements HttpListener {
    @Override
    public void onHead(int status, Map<String, String> headers) {}

    @Override
    public void onBodyPart(byte[] part) {}

    @Override
    public void onEnd(AnswerEnd end) {}

    @Override
    public void onFailure(HttpFailure failure, String detail) {}
  }
}
