package org.teaseldeal.net;

import io.netty.channel.Channel;
import io.netty.util.concurrent.Future;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One call. It forwards events to its listener and ensures that none follows the end of the call.
 *
 * <p>The connection's event loop, the timeout and a cancelling thread may access it concurrently.
 * Callbacks run under the lock, so that none can start after {@link #cancel} has returned.
 */
final class ClientCall implements HttpCall {
  private static final Logger LOG = LoggerFactory.getLogger(ClientCall.class);

  private final HttpCallRequest request;
  private final HttpListener listener;
  private @Nullable Channel channel;
  private @Nullable Future<?> timeout;
  private boolean written;
  private boolean headReceived;
  private boolean finished;

  ClientCall(HttpCallRequest request, HttpListener listener) {
    this.request = request;
    this.listener = listener;
  }

  HttpCallRequest request() {
    return request;
  }

  /** The name by which answers identify the call; empty if they don't. */
  String name() {
    return listener.callName();
  }

  synchronized void startTimeout() {
    timeout =
        SharedEventLoops.eventLoopGroup()
            .schedule(this::onTimeout, request.timeout().toNanos(), TimeUnit.NANOSECONDS);
  }

  synchronized void setConnectingChannel(Channel connecting) {
    channel = connecting;
    if (finished) {
      connecting.close();
    }
  }

  /**
   * Marks the request as being written on {@code used}; returns false if the call is already over.
   */
  synchronized boolean startWriting(Channel used) {
    if (finished) {
      return false;
    }
    channel = used;
    written = true;
    return true;
  }

  /**
   * Returns how an answer with this head relates to the call; that to a finished call is dropped.
   */
  synchronized AnswerMatch match(int status, Map<String, String> headers) {
    return finished ? AnswerMatch.BY_PLACE : listener.match(status, headers);
  }

  synchronized void reportSkipped(int status, Map<String, String> headers, AnswerOrigin origin) {
    if (!finished) {
      runCallback(() -> listener.onSkipped(status, headers, origin));
    }
  }

  synchronized void deliverHead(
      int status, Map<String, String> headers, AnswerEnd announcedEnd, AnswerOrigin origin) {
    if (finished) {
      return;
    }
    headReceived = true;
    cancelTimeout();
    runCallback(() -> listener.onReceived(origin));
    runCallback(() -> listener.onEndAnnounced(announcedEnd));
    runCallback(() -> listener.onHead(status, headers));
  }

  synchronized void deliverBodyPart(byte[] part) {
    if (!finished) {
      runCallback(() -> listener.onBodyPart(part));
    }
  }

  /**
   * Completes the call; {@code first} runs before the listener is notified. Returns false if the
   * call was already over.
   */
  synchronized boolean complete(AnswerEnd end, Runnable first) {
    if (!finish()) {
      return false;
    }
    first.run();
    runCallback(() -> listener.onEnd(end));
    return true;
  }

  synchronized void fail(HttpFailure failure, String detail) {
    if (finish()) {
      runCallback(() -> listener.onFailure(failure, detail));
    }
  }

  /**
   * Fails the call with the {@link HttpFailure} that matches its progress, and closes its
   * connection.
   */
  synchronized void failByProgress(String detail) {
    if (finished) {
      return;
    }
    Channel used = channel;
    fail(failureByProgress(), detail);
    if (used != null) {
      used.close();
    }
  }

  @Override
  public synchronized void cancel() {
    Channel used = channel;
    if (finish() && used != null) {
      used.close();
    }
  }

  private HttpFailure failureByProgress() {
    if (headReceived) {
      return HttpFailure.BROKEN_ANSWER;
    }
    return written ? HttpFailure.NO_ANSWER : HttpFailure.NOT_SENT;
  }

  /** The answer may have arrived already, while the event loop of the channel was blocked. */
  private synchronized void onTimeout() {
    if (channel == null) {
      failUnlessAnswered();
    } else {
      SharedEventLoops.afterPendingInput(channel.eventLoop(), this::failUnlessAnswered);
    }
  }

  private synchronized void failUnlessAnswered() {
    if (!headReceived) {
      failByProgress("no answer within %d ms".formatted(request.timeout().toMillis()));
    }
  }

  /**
   * Marks the call as over; returns false if it already was. The reference to the channel is
   * dropped, as the channel may carry another call from now on.
   */
  private boolean finish() {
    if (finished) {
      return false;
    }
    finished = true;
    channel = null;
    cancelTimeout();
    return true;
  }

  private void cancelTimeout() {
    if (timeout != null) {
      timeout.cancel(false);
      timeout = null;
    }
  }

  private static void runCallback(Runnable callback) {
    try {
      callback.run();
    } catch (RuntimeException e) {
      LOG.error("listener of a call threw an exception; ignoring it", e);
    }
  }
}
