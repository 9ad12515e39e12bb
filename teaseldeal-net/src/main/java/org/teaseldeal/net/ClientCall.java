package org.teaseldeal.net;

import io.netty.channel.Channel;
import io.netty.util.concurrent.Future;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One call: forwards to its listener, and makes sure that nothing follows the end.
 *
 * <p>The connection's event loop, the timeout and whoever cancels may meet here. Callbacks run
 * under the lock, so that none can start once {@link #cancel} has returned.
 */
final class ClientCall implements HttpCall {
  private static final Logger LOG = LoggerFactory.getLogger(ClientCall.class);

  private final HttpCallRequest request;
  private final HttpListener listener;
  private @Nullable Channel channel;
  private @Nullable Future<?> timeout;
  private boolean written;
  private boolean headSeen;
  private boolean over;

  ClientCall(HttpCallRequest request, HttpListener listener) {
    this.request = request;
    this.listener = listener;
  }

  HttpCallRequest request() {
    return request;
  }

  synchronized void startTimeout() {
    timeout =
        NetRuntime.group()
            .schedule(this::timedOut, request.timeout().toNanos(), TimeUnit.NANOSECONDS);
  }

  synchronized void connectingOn(Channel connecting) {
    channel = connecting;
    if (over) {
      connecting.close();
    }
  }

  /** Marks the request as being written on {@code used}; false if the call is over. */
  synchronized boolean writeOn(Channel used) {
    if (over) {
      return false;
    }
    channel = used;
    written = true;
    return true;
  }

  /** Whether an answer with this head is the call's own. */
  synchronized boolean isAnswer(int status, Map<String, String> headers) {
    return over || listener.isAnswer(status, headers);
  }

  synchronized void head(int status, Map<String, String> headers) {
    if (over) {
      return;
    }
    headSeen = true;
    stopTimeout();
    guarded(() -> listener.onHead(status, headers));
  }

  synchronized void part(byte[] part) {
    if (!over) {
      guarded(() -> listener.onPart(part));
    }
  }

  /** Ends the call; {@code first} runs before the listener hears of it. False if it was over. */
  synchronized boolean end(Runnable first) {
    if (!finish()) {
      return false;
    }
    first.run();
    guarded(listener::onEnd);
    return true;
  }

  synchronized void fail(HttpFailure failure, String detail) {
    if (finish()) {
      guarded(() -> listener.onFailure(failure, detail));
    }
  }

  /** Fails as far as the call got, and closes its connection. */
  synchronized void failAsFarAsItGot(String detail) {
    if (over) {
      return;
    }
    Channel used = channel;
    fail(failureNow(), detail);
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

  private HttpFailure failureNow() {
    if (headSeen) {
      return HttpFailure.BROKEN_ANSWER;
    }
    return written ? HttpFailure.NO_ANSWER : HttpFailure.NOT_SENT;
  }

  private synchronized void timedOut() {
    if (!headSeen) {
      failAsFarAsItGot("no answer within %d ms".formatted(request.timeout().toMillis()));
    }
  }

  /** The channel is forgotten here: it may carry another call from now on. */
  private boolean finish() {
    if (over) {
      return false;
    }
    over = true;
    channel = null;
    stopTimeout();
    return true;
  }

  private void stopTimeout() {
    if (timeout != null) {
      timeout.cancel(false);
      timeout = null;
    }
  }

  private static void guarded(Runnable callback) {
    try {
      callback.run();
    } catch (RuntimeException e) {
      LOG.error("listener failed", e);
    }
  }
}
