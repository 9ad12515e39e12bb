package org.teaseldeal.gateway.flow;

import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.teaseldeal.decisions.PrefillTime;
import org.teaseldeal.gateway.event.GatewayEvent;
import org.teaseldeal.gateway.server.BackendServer;
import org.teaseldeal.net.AnswerEnd;
import org.teaseldeal.net.AnswerMatch;
import org.teaseldeal.net.AnswerOrigin;
import org.teaseldeal.net.EventSplitter;
import org.teaseldeal.net.HttpCall;
import org.teaseldeal.net.HttpCallRequest;
import org.teaseldeal.net.HttpFailure;
import org.teaseldeal.net.HttpListener;

/** One attempt to have a request answered by one backend server, from its sending to its end. */
final class Attempt implements HttpListener {
  private static final int OK = 200;
  private static final String CONTENT_TYPE = "content-type";

  /**
   * A server that crashes under a request may send the first events of its answer before, so an
   * answer counts as about to begin for this long after its first event.
   */
  private static final Duration BEGINNING = Duration.ofMillis(500);

  private final RequestFlow flow;
  private final int number;
  private final GatewayComponents components;
  private final ServerSelector.Selection selection;
  private final BackendServer server;

  /** The number of prompt tokens that no server can have in its cache. */
  private final long unsharedTokens;

  /** The number of prompt tokens that the server presumably has to read. */
  private final long uncachedTokens;

  /** The number of tokens of the prompt and its answer; 0 for a request without a prompt. */
  private final long maxTokens;

  private final boolean streamed;
  private final boolean relayed;
  private final Instant startedAt;
  private final ByteArrayOutputStream body = new ByteArrayOutputStream(0);
  private final EventSplitter eventSplitter = new EventSplitter(AnswerLimits.MAX_EVENT_BYTES);
  private final AnswerLimits limits = new AnswerLimits();

  private @Nullable HttpCall call;
  private @Nullable AnswerVerdict verdict;

  /** Where the answer was received; null before, and if another instance relays it. */
  private @Nullable AnswerOrigin origin;

  private int status;
  private Map<String, String> headers = Map.of();
  private Instant lastReceivedAt;
  private Instant lastProgressAt;
  private @Nullable Instant bodyBegunAt;

  /** Whether the answer is a stream of events. */
  private boolean eventStream;

  /** Events without data that are sent once the attempt delivers; see {@link #holdBack}. */
  private final List<EventSplitter.Event> heldBack = new ArrayList<>(0);

  private Instant lossRecordedAt = Instant.MIN;
  private boolean promptMarkedRead;
  private boolean ended;

  /**
   * Creates an attempt, which is not sent yet.
   *
   * @param number the number of servers to which the request was sent, including this one
   */
  Attempt(
      RequestFlow flow,
      int number,
      GatewayComponents components,
      ServerSelector.Selection selection,
      boolean streamed,
      boolean relayed) {
    this.flow = flow;
    this.number = number;
    this.components = components;
    this.selection = selection;
    this.server = selection.server();
    this.uncachedTokens = selection.uncachedTokens();
    this.maxTokens = flow.request().prompt().map(PromptDescription::maxTokens).orElse(0L);
    this.streamed = streamed;
    this.relayed = relayed;
    this.unsharedTokens = flow.request().prompt().map(PromptDescription::unsharedTokens).orElse(0L);
    this.startedAt = components.clock().instant();
    this.lastReceivedAt = startedAt;
    this.lastProgressAt = startedAt;
  }

  void start(ForwardingTerms terms) {
    server.onRequestSent(uncachedTokens);
    server.holdTokens(maxTokens);
    HttpCallRequest request = components.dialect().forward(flow.request(), terms);
    HttpCall sent =
        relayed
            ? components.links().sendThroughRelay(server, request, this)
            : components.links().sendDirectly(server, request, this);
    if (!ended) {
      call = sent;
    }
  }

  /** The position of the attempt among those of its request, from 1. */
  int number() {
    return number;
  }

  BackendServer server() {
    return server;
  }

  /** When the request was sent. */
  Instant startedAt() {
    return startedAt;
  }

  /** Whether the request was sent through another instance. */
  boolean relayed() {
    return relayed;
  }

  /**
   * Whether the server may have read the prompt: it answered, or enough time has passed to read it.
   */
  boolean mayHaveReadPrompt() {
    return verdict == AnswerVerdict.GENUINE || PrefillTime.mayBeComplete(unsharedTokens, age());
  }

  /** Whether the answer has not begun, or only just. */
  boolean isBeginning() {
    return bodyBegunAt == null
        || Duration.between(bodyBegunAt, components.clock().instant()).compareTo(BEGINNING) < 0;
  }

  /** The number of complete events that the server has sent. */
  long eventsReceived() {
    return eventSplitter.completeEvents();
  }

  Duration age() {
    return Duration.between(startedAt, components.clock().instant());
  }

  /** When the server last sent something, or the request if it has sent nothing. */
  Instant lastReceivedAt() {
    return lastReceivedAt;
  }

  /** When the answer last came forward. */
  Instant lastProgressAt() {
    return lastProgressAt;
  }

  /** Returns whether the answer is recorded as missing and has not come forward since. */
  boolean isLossRecorded() {
    return !lossRecordedAt.isBefore(lastProgressAt);
  }

  void markLossRecorded() {
    lossRecordedAt = components.clock().instant();
  }

  /** Keeps an event that brings the answer no further until the attempt delivers one that does. */
  void holdBack(EventSplitter.Event event) {
    heldBack.add(event);
  }

  /** Returns the events that were held back, which are held no more. */
  List<EventSplitter.Event> takeHeldBack() {
    if (heldBack.isEmpty()) {
      return List.of();
    }
    List<EventSplitter.Event> taken = List.copyOf(heldBack);
    heldBack.clear();
    return taken;
  }

  /** How long the server has sent nothing. */
  Duration silence() {
    return Duration.between(lastReceivedAt, components.clock().instant());
  }

  /** How long the answer has not come forward, whatever bytes arrived. */
  Duration stalledFor() {
    return Duration.between(lastProgressAt, components.clock().instant());
  }

  /** Cancels the attempt by closing its connection, so that the server stops working on it. */
  void cancel() {
    if (ended) {
      return;
    }
    markEnded();
    closeConnection();
  }

  private void closeConnection() {
    if (call != null) {
      call.cancel();
    }
  }

  @Override
  public String callName() {
    return flow.request().id();
  }

  @Override
  public AnswerMatch match(int answerStatus, Map<String, String> answerHeaders) {
    return components.dialect().match(flow.request().id(), answerHeaders);
  }

  @Override
  public void onSkipped(
      int answerStatus, Map<String, String> answerHeaders, AnswerOrigin answerOrigin) {
    components
        .events()
        .accept(
            new GatewayEvent.AnswerSkipped(
                flow.request().id(),
                server.id().name(),
                components.dialect().answeredRequest(answerHeaders),
                answerStatus,
                components.dialect().signature(answerHeaders),
                answerOrigin.connection(),
                answerOrigin.call()));
  }

  @Override
  public void onReceived(AnswerOrigin answerOrigin) {
    origin = answerOrigin;
  }

  @Override
  public void onHead(int answerStatus, Map<String, String> answerHeaders) {
    markReceived();
    lastProgressAt = lastReceivedAt;
    status = answerStatus;
    headers = components.dialect().answerHeaders(answerHeaders);
    verdict = components.dialect().verdict(answerStatus, answerHeaders);
    reportReceived(answerHeaders);
    String contentType = headers.get(CONTENT_TYPE);
    eventStream =
        streamed
            && status == OK
            && (contentType == null || EventSplitter.isEventStream(contentType));
    if (verdict == AnswerVerdict.DOUBTFUL) {
      failAndClose("status %d is not the server's own".formatted(status));
    }
  }

  private void reportReceived(Map<String, String> answerHeaders) {
    AnswerOrigin received = origin;
    if (received == null) {
      return;
    }
    components
        .events()
        .accept(
            new GatewayEvent.AnswerReceived(
                flow.request().id(),
                server.id().name(),
                number,
                status,
                components.dialect().signature(answerHeaders),
                received.match().name(),
                received.connection(),
                received.call(),
                received.skipped()));
  }

  @Override
  public void onBodyPart(byte[] part) {
    if (ended) {
      return;
    }
    markReceived();
    if (verdict != AnswerVerdict.GENUINE) {
      return;
    }
    if (bodyBegunAt == null) {
      bodyBegunAt = lastReceivedAt;
    }
    if (eventStream) {
      onStreamPart(part);
    } else {
      onPlainPart(part);
    }
  }

  private void onPlainPart(byte[] part) {
    if (limits.onBodyBytes(part.length)) {
      lastProgressAt = lastReceivedAt;
    }
    if (limits.isBodyTooLarge() || !flow.tryBuffer(this, part.length)) {
      failAsTooLarge();
      return;
    }
    body.writeBytes(part);
  }

  /** The bytes of the answer that have been collected. */
  int collectedBytes() {
    return body.size();
  }

  /** Ends the attempt because its answer takes more memory than there is. */
  void failAsTooLarge() {
    failAndClose("the answer is too large, %d bytes so far".formatted(body.size()));
  }

  private void onStreamPart(byte[] part) {
    for (EventSplitter.Event event : eventSplitter.add(part)) {
      boolean progressed = limits.onEvent(event);
      if (limits.isStreamTooLarge()) {
        break;
      }
      if (progressed) {
        lastProgressAt = lastReceivedAt;
      }
      if (!promptMarkedRead && !relayed && maxTokens > 0) {
        flow.onFirstEvent(selection, Duration.between(startedAt, lastReceivedAt));
      }
      markPromptRead();
      if (progressed || event.hasData() || event.id().isEmpty()) {
        flow.onEvent(this, status, headers, event);
      }
      if (ended) {
        return;
      }
    }
    if (eventSplitter.isEventTooLarge() || limits.isStreamTooLarge()) {
      failAndClose(
          "the stream is too large or brings nothing new, %d events so far"
              .formatted(eventSplitter.completeEvents()));
    }
  }

  /** Ends an attempt whose answer is not usable and has not ended. */
  private void failAndClose(String detail) {
    fail(AttemptFailure.MAY_HAVE_RUN, detail);
    closeConnection();
  }

  @Override
  public void onEnd(AnswerEnd end) {
    if (ended) {
      return;
    }
    reportUnclearEnd(end);
    if (verdict == AnswerVerdict.GENUINE && eventStream && eventSplitter.isBrokenOff(end)) {
      fail(
          AttemptFailure.MAY_HAVE_RUN,
          "the stream was broken off: %d bytes after %d events, end marked by %s"
              .formatted(eventSplitter.incompleteBytes(), eventSplitter.completeEvents(), end));
      return;
    }
    onAnswered();
  }

  private void onAnswered() {
    switch (verdict) {
      case GENUINE -> complete();
      case NOT_RUN -> fail(AttemptFailure.NOT_RUN, "status %d, not run".formatted(status));
      case OTHER_SERVER -> fail(AttemptFailure.OTHER_SERVER, "another server has the address");
      case null, default -> fail(AttemptFailure.MAY_HAVE_RUN, "no genuine answer");
    }
  }

  @Override
  public void onFailure(HttpFailure failure, String detail) {
    if (ended) {
      return;
    }
    if (verdict == AnswerVerdict.NOT_RUN || verdict == AnswerVerdict.OTHER_SERVER) {
      onAnswered();
      return;
    }
    fail(
        failure == HttpFailure.NOT_SENT ? AttemptFailure.NOT_SENT : AttemptFailure.MAY_HAVE_RUN,
        failure + ": " + detail);
  }

  private void reportUnclearEnd(AnswerEnd end) {
    int unfinishedBytes = eventSplitter.incompleteBytes();
    if (end.isMarkedByFraming() && unfinishedBytes == 0) {
      return;
    }
    components
        .events()
        .accept(
            new GatewayEvent.AnswerEnded(
                flow.request().id(),
                server.id().name(),
                end.name(),
                eventSplitter.completeEvents(),
                unfinishedBytes));
  }

  private void complete() {
    markEnded();
    if (eventStream) {
      flow.onStreamEnd(this, status, headers);
    } else {
      flow.onCompleteAnswer(this, status, headers, body.toByteArray());
    }
  }

  private void fail(AttemptFailure reason, String detail) {
    markEnded();
    flow.onAttemptFailed(this, reason, detail);
  }

  private void markEnded() {
    ended = true;
    markPromptRead();
    flow.releaseBuffered(body.size());
    server.releaseTokens(maxTokens);
    server.onRequestEnded();
  }

  private void markPromptRead() {
    if (!promptMarkedRead) {
      promptMarkedRead = true;
      server.onPromptRead(uncachedTokens);
    }
  }

  private void markReceived() {
    lastReceivedAt = components.clock().instant();
    if (!relayed) {
      server.onReceived(startedAt, lastReceivedAt);
    }
  }
}
