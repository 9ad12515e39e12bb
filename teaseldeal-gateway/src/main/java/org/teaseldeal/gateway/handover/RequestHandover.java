package org.teaseldeal.gateway.handover;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.teaseldeal.decisions.HandoverPolicy;
import org.teaseldeal.gateway.event.EventSink;
import org.teaseldeal.gateway.event.GatewayEvent;
import org.teaseldeal.gateway.flow.BegunStream;
import org.teaseldeal.gateway.flow.RequestDispatcher;
import org.teaseldeal.gateway.handover.HandoverMessage.Result;
import org.teaseldeal.gateway.path.BackendPort;
import org.teaseldeal.gateway.plan.GatewayPlan;
import org.teaseldeal.gateway.plan.Route;
import org.teaseldeal.net.AnswerEnd;
import org.teaseldeal.net.AnswerMatch;
import org.teaseldeal.net.EventSplitter;
import org.teaseldeal.net.HttpCall;
import org.teaseldeal.net.HttpCallRequest;
import org.teaseldeal.net.HttpExchange;
import org.teaseldeal.net.HttpFailure;
import org.teaseldeal.net.HttpHandler;
import org.teaseldeal.net.HttpListener;
import org.teaseldeal.net.ResponseStream;

/**
 * Receives callers' requests and hands those over to other instances that this one would serve too
 * late. The instance that takes a request decides everything about it; this one passes the bytes of
 * its answer on.
 */
public final class RequestHandover implements HttpHandler {
  /** Shorter delays hold up no request, whatever its aim; most requests are handled during none. */
  private static final Duration SHORTEST_DELAY = Duration.ofMillis(5);

  private static final Duration ASK_INTERVAL = Duration.ofMillis(100);

  /** How long after a caller's last request other instances are asked. */
  private static final Duration ASK_TIME = Duration.ofSeconds(1);

  private static final Duration ASK_TIMEOUT = Duration.ofMillis(500);

  /** What is left to the instance that took a request to answer that its deadline has passed. */
  private static final Duration DEADLINE_TOLERANCE = Duration.ofMillis(200);

  /** A stream is aborted if its caller reads so slowly that more than this waits for it. */
  private static final long MAX_PENDING_BYTES = 1 << 20;

  /** The maximum size of all answers together that are collected before they are passed on. */
  private static final int MAX_COLLECTED_BYTES = 6 << 20;

  private static final int MAX_DETAIL_BYTES = 1 << 10;

  /**
   * The maximum size of all bodies together that are handed over. Each is in memory twice until its
   * answer has ended.
   */
  private static final int MAX_SENT_BYTES = 4 << 20;

  private final String instance;
  private final RequestDispatcher dispatcher;
  private final BackendPort siblings;
  private final Supplier<List<String>> addresses;
  private final BooleanSupplier takesRequests;
  private final Supplier<Duration> delay;
  private final Supplier<@Nullable GatewayPlan> plan;
  private final HandoverPolicy policy;
  private final EventSink events;
  private final InstantSource clock;
  private final Set<HandedOverRequest> open = new LinkedHashSet<>();
  private Instant askUntil = Instant.MIN;
  private Instant askAt = Instant.MIN;
  private long lastNumber;
  private int collectedBytes;
  private Runnable dueListener = () -> {};
  private int sentBytes;

  /**
   * Creates the handover of an instance.
   *
   * @param siblings sends requests to other instances
   * @param addresses supplies the addresses of the other instances
   * @param takesRequests whether the instance is ready and does not stop
   * @param delay by how much the instance's event loop is late
   */
  public RequestHandover(
      String instance,
      RequestDispatcher dispatcher,
      BackendPort siblings,
      Supplier<List<String>> addresses,
      BooleanSupplier takesRequests,
      Supplier<Duration> delay,
      Supplier<@Nullable GatewayPlan> plan,
      HandoverPolicy policy,
      EventSink events,
      InstantSource clock) {
    this.instance = instance;
    this.dispatcher = dispatcher;
    this.siblings = siblings;
    this.addresses = addresses;
    this.takesRequests = takesRequests;
    this.delay = delay;
    this.plan = plan;
    this.policy = policy;
    this.events = events;
    this.clock = clock;
    // The time of day in the upper bits makes a restarted process continue above its predecessor.
    this.lastNumber = clock.instant().toEpochMilli() << 16;
  }

  /** The number of requests that other instances have taken and not answered completely. */
  public int openRequests() {
    return open.size();
  }

  @Override
  public void handle(HttpExchange exchange) {
    Instant now = clock.instant();
    if (now.isAfter(askUntil)) {
      dueListener.run();
    }
    askUntil = now.plus(ASK_TIME);
    Duration late = delay.get();
    GatewayPlan current = plan.get();
    if (late.compareTo(SHORTEST_DELAY) < 0 || current == null || !takesRequests.getAsBoolean()) {
      dispatcher.handle(exchange);
      return;
    }
    Optional<Route> route = current.route(exchange.header("host").orElse(""), exchange.path());
    if (route.isEmpty()
        || !policy.isHeldUp(late, route.get().aim())
        || sentBytes + exchange.body().length > MAX_SENT_BYTES) {
      dispatcher.handle(exchange);
      return;
    }
    new HandedOverRequest(exchange, route.get(), current.version(), late).offerOrServe();
  }

  /** Sets what runs when a caller's request makes {@link #tick} due after a pause. */
  public void onDue(Runnable listener) {
    dueListener = listener;
  }

  /** Returns when {@link #tick} is due again, unless a caller sends a request before. */
  public Instant dueAt() {
    if (!open.isEmpty()) {
      return Instant.MIN;
    }
    return clock.instant().isAfter(askUntil) ? Instant.MAX : askAt;
  }

  /** Asks other instances whether they would take requests, and ends requests that are overdue. */
  public void tick() {
    Instant now = clock.instant();
    if (!open.isEmpty()) {
      new ArrayList<>(open).forEach(request -> request.endIfOverdue(now));
    }
    if (now.isBefore(askAt) || now.isAfter(askUntil)) {
      return;
    }
    askAt = now.plus(ASK_INTERVAL);
    policy.instancesToAsk(addresses.get(), now).forEach(this::ask);
  }

  /**
   * Ends all requests and returns their number; each caller whose answer has not begun is told that
   * it may have run.
   */
  public int abortAll() {
    List<HandedOverRequest> ended = new ArrayList<>(open);
    ended.forEach(request -> request.abandon("the instance ended while it ran"));
    return ended.size();
  }

  private void ask(String address) {
    Question question = new Question(address, ++lastNumber);
    siblings.send(
        new HttpCallRequest(
            address,
            "GET",
            HandoverReceiver.PATH,
            HandoverMessage.callHeaders(question.number),
            new byte[0],
            ASK_TIMEOUT),
        question);
  }

  /** Asks an instance whether it would take a request. */
  private final class Question implements HttpListener {
    private final String address;
    private final long number;

    Question(String address, long number) {
      this.address = address;
      this.number = number;
    }

    @Override
    public AnswerMatch match(int status, Map<String, String> headers) {
      return HandoverMessage.match(number, headers);
    }

    @Override
    public void onHead(int status, Map<String, String> headers) {
      if (HandoverMessage.result(status, headers) == Result.WILLING) {
        policy.onWilling(address, clock.instant());
      } else {
        policy.onUnwilling(address, clock.instant());
      }
    }

    @Override
    public void onBodyPart(byte[] part) {}

    @Override
    public void onEnd(AnswerEnd end) {}

    @Override
    public void onFailure(HttpFailure failure, String detail) {
      policy.onUnwilling(address, clock.instant());
    }
  }

  /** Ends the largest answers that are collected while all together are too large. */
  private void abandonLargestAnswers() {
    while (collectedBytes > MAX_COLLECTED_BYTES) {
      HandedOverRequest largest =
          Collections.max(open, Comparator.comparingInt(HandedOverRequest::collectedBytes));
      largest.abandon(
          "the answer is too large, %d bytes so far".formatted(largest.collectedBytes()));
    }
  }

  /**
   * Passes the events of a stream on, whole ones only, so that the stream can go on elsewhere after
   * the last of them.
   */
  private final class PassedEvents {
    private final EventSplitter splitter = new EventSplitter();
    private final ResponseStream stream;
    private String lastEventId = "";
    private Instant firstSentAt = Instant.MAX;
    private Instant lastSentAt = Instant.MAX;

    PassedEvents(ResponseStream stream) {
      this.stream = stream;
    }

    void pass(byte[] part) {
      for (EventSplitter.Event event : splitter.add(part)) {
        stream.write(event.bytes());
        lastSentAt = clock.instant();
        firstSentAt = firstSentAt.equals(Instant.MAX) ? lastSentAt : firstSentAt;
        if (event.hasData()) {
          lastEventId = event.id();
        }
      }
    }

    boolean endsInEvent() {
      return splitter.incompleteBytes() > 0;
    }

    /** The stream as the caller has it; empty if its last event has no id to go on from. */
    Optional<BegunStream> resumable() {
      return lastEventId.isEmpty()
          ? Optional.empty()
          : Optional.of(new BegunStream(stream, lastEventId, firstSentAt, lastSentAt));
    }
  }

  /** One request, from the first offer to another instance to the end of its answer. */
  private final class HandedOverRequest implements HttpListener {
    private final HttpExchange exchange;
    private final Route route;
    private final long planVersion;
    private final Duration late;
    private final Instant overdueAt;
    private final Set<String> tried = new HashSet<>();
    private final ByteArrayOutputStream collected = new ByteArrayOutputStream(0);
    private String sibling = "";

    /** The number of the newest offer. */
    private long number;

    private int maxAttempts;
    private HttpCall call = () -> {};
    private @Nullable Result result;
    private int status;
    private Map<String, String> headers = Map.of();
    private @Nullable ResponseStream stream;
    private @Nullable PassedEvents passedEvents;
    private boolean ended;

    HandedOverRequest(HttpExchange exchange, Route route, long planVersion, Duration late) {
      this.exchange = exchange;
      this.route = route;
      this.planVersion = planVersion;
      this.late = late;
      this.overdueAt =
          clock
              .instant()
              .minus(exchange.timeSinceHead())
              .plus(dispatcher.maxDuration(exchange, route))
              .plus(DEADLINE_TOLERANCE);
    }

    /**
     * Offers the request to the next instance; serves it here if there is none, or if the request
     * doesn't fit into a message.
     */
    void offerOrServe() {
      Instant now = clock.instant();
      Optional<String> next =
          now.isBefore(overdueAt) ? policy.choose(tried, now) : Optional.empty();
      if (next.isEmpty()) {
        serve();
        return;
      }
      maxAttempts = policy.attemptsHandedOver(route.repeatable(), route.maxAttempts());
      HttpCallRequest request;
      try {
        request = request(next.get(), now);
      } catch (IllegalArgumentException e) {
        serve();
        return;
      }
      if (open.add(this)) {
        sentBytes += exchange.body().length;
        exchange.onCallerDisconnect(this::onCallerDisconnected);
      }
      sibling = next.get();
      tried.add(sibling);
      result = null;
      policy.onSent(sibling);
      events.accept(new GatewayEvent.HandedOver(dispatcher.requestId(exchange), sibling, late));
      String address = sibling;
      HttpCall sent = siblings.send(request, this);
      // The call may have failed at once and been replaced by the next one.
      if (!ended && address.equals(sibling)) {
        call = sent;
      }
    }

    private void serve() {
      ended = true;
      remove();
      dispatcher.handle(exchange);
    }

    private HttpCallRequest request(String address, Instant now) {
      number = ++lastNumber;
      HandoverMessage message =
          new HandoverMessage(
              instance,
              number,
              planVersion,
              maxAttempts,
              exchange.timeSinceHead(),
              late,
              exchange.method(),
              exchange.path(),
              exchange.headers(),
              exchange.body());
      return new HttpCallRequest(
          address,
          "POST",
          HandoverReceiver.PATH,
          HandoverMessage.callHeaders(number),
          message.encode(),
          Duration.between(now, overdueAt));
    }

    @Override
    public AnswerMatch match(int answerStatus, Map<String, String> answerHeaders) {
      return HandoverMessage.match(number, answerHeaders);
    }

    @Override
    public void onHead(int answerStatus, Map<String, String> answerHeaders) {
      if (ended) {
        return;
      }
      result = HandoverMessage.result(answerStatus, answerHeaders);
      status = answerStatus;
      headers = HandoverMessage.callersHeaders(answerHeaders);
      switch (result) {
        case STREAM -> {
          policy.onWilling(sibling, clock.instant());
          stream = exchange.startStream(status, headers);
          passedEvents = route.resumable() ? new PassedEvents(stream) : null;
        }
        case COMPLETE -> policy.onWilling(sibling, clock.instant());
        case NOT_TAKEN, REPEATED, FAILED, WILLING -> policy.onUnwilling(sibling, clock.instant());
      }
    }

    @Override
    public void onBodyPart(byte[] part) {
      ResponseStream begun = stream;
      if (ended) {
        return;
      }
      if (begun != null) {
        if (passedEvents == null) {
          begun.write(part);
        } else {
          passedEvents.pass(part);
        }
        if (begun.pendingBytes() > MAX_PENDING_BYTES) {
          call.cancel();
          abandon("the caller reads too slowly");
        }
      } else if (result == Result.COMPLETE) {
        collected.writeBytes(part);
        collectedBytes += part.length;
        abandonLargestAnswers();
      } else if (collected.size() + part.length <= MAX_DETAIL_BYTES) {
        collected.writeBytes(part);
      }
    }

    @Override
    public void onEnd(AnswerEnd end) {
      Result received = result;
      if (ended || received == null) {
        return;
      }
      switch (received) {
        case COMPLETE -> {
          if (end.isMarkedByFraming()) {
            end();
            exchange.respond(status, headers, collected.toByteArray());
          } else {
            onLost("nothing marked the end of the answer");
          }
        }
        case STREAM -> {
          boolean inEvent = passedEvents != null && passedEvents.endsInEvent();
          if (end == AnswerEnd.LAST_CHUNK && stream != null && !inEvent) {
            end();
            stream.finish();
          } else {
            onLost("the answer ended without its last part");
          }
        }
        case NOT_TAKEN -> onNotTaken(collected.toString(StandardCharsets.UTF_8));
        case REPEATED, FAILED, WILLING -> onLost(collected.toString(StandardCharsets.UTF_8));
      }
    }

    @Override
    public void onFailure(HttpFailure failure, String detail) {
      if (ended) {
        return;
      }
      if (failure == HttpFailure.NOT_SENT) {
        policy.onUnwilling(sibling, clock.instant());
        onNotTaken(detail);
      } else if (result == Result.NOT_TAKEN) {
        onNotTaken(detail);
      } else {
        policy.onUnwilling(sibling, clock.instant());
        onLost(detail);
      }
    }

    /** The bytes of the answer that have been collected before they are passed on. */
    int collectedBytes() {
      return result == Result.COMPLETE ? collected.size() : 0;
    }

    private void onNotTaken(String detail) {
      policy.onEnded(sibling);
      collected.reset();
      events.accept(
          new GatewayEvent.HandoverRefused(dispatcher.requestId(exchange), sibling, detail));
      offerOrServe();
    }

    /**
     * Handles the loss of an answer. The request may have run, as often as the other instance was
     * allowed to send it; it is sent to a server again only if attempts are left.
     */
    private void onLost(String detail) {
      int attemptsLeft = route.maxAttempts() - maxAttempts;
      if (!route.repeatable() || attemptsLeft <= 0) {
        abandon(detail);
      } else if (stream == null) {
        reportLost(detail, true);
        end();
        dispatcher.handleMayHaveRun(exchange, attemptsLeft);
      } else {
        resumeOrAbandon(detail, attemptsLeft);
      }
    }

    /** Goes on with a begun stream at a server, from the last event that the caller has. */
    private void resumeOrAbandon(String detail, int attemptsLeft) {
      Optional<BegunStream> begun =
          passedEvents == null ? Optional.empty() : passedEvents.resumable();
      if (begun.isPresent() && dispatcher.resume(exchange, begun.get(), attemptsLeft)) {
        reportLost(detail, true);
        end();
        call.cancel();
      } else {
        abandon(detail);
      }
    }

    /** Ends the request without its answer. */
    void abandon(String detail) {
      if (ended) {
        return;
      }
      reportLost(detail, false);
      end();
      call.cancel();
      if (stream != null) {
        stream.abort();
      } else {
        dispatcher.respondMayHaveRun(exchange, "instance " + sibling + ": " + detail);
      }
    }

    private void reportLost(String detail, boolean again) {
      events.accept(
          new GatewayEvent.HandoverLost(
              dispatcher.requestId(exchange), sibling, stream != null, again, detail));
    }

    void endIfOverdue(Instant now) {
      if (now.isAfter(overdueAt)) {
        policy.onUnwilling(sibling, now);
        abandon("no whole answer in time");
      }
    }

    private void onCallerDisconnected() {
      if (!ended) {
        end();
        call.cancel();
      }
    }

    private void end() {
      ended = true;
      collectedBytes -= collectedBytes();
      remove();
      policy.onEnded(sibling);
    }

    private void remove() {
      if (open.remove(this)) {
        sentBytes -= exchange.body().length;
      }
    }
  }
}
