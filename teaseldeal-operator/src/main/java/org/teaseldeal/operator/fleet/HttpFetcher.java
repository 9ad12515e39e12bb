package org.teaseldeal.operator.fleet;

import java.io.IOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.teaseldeal.net.HttpAnswer;
import org.teaseldeal.net.HttpCallRequest;
import org.teaseldeal.net.HttpClient;

/** Performs HTTP calls with an {@link HttpClient} and waits for the complete response. */
public final class HttpFetcher {
  private static final byte[] NO_BODY = {};

  /**
   * The time to wait beyond the client's own timeout, which normally ends a call. It bounds the
   * wait if the client never completes the call.
   */
  private static final Duration COMPLETION_GRACE = Duration.ofSeconds(5);

  private final HttpClient client;

  /** Creates a fetcher. */
  public HttpFetcher(HttpClient client) {
    this.client = client;
  }

  /** Returns the response to a GET that carries {@code token} as the bearer token. */
  public HttpAnswer get(String address, String path, Optional<String> token, Duration timeout)
      throws IOException {
    return call(address, "GET", path, token, timeout);
  }

  /**
   * Returns the response to a POST without a body that carries {@code token} as the bearer token.
   */
  public HttpAnswer post(String address, String path, Optional<String> token, Duration timeout)
      throws IOException {
    return call(address, "POST", path, token, timeout);
  }

  /**
   * Starts a call that carries {@code token} as the bearer token and completes within {@code
   * timeout}.
   */
  CompletableFuture<HttpAnswer> start(
      String address, String method, String path, Optional<String> token, Duration timeout) {
    Map<String, String> headers = new HashMap<>();
    token.ifPresent(value -> headers.put("Authorization", "Bearer " + value));
    return client.fetch(new HttpCallRequest(address, method, path, headers, NO_BODY, timeout));
  }

  private HttpAnswer call(
      String address, String method, String path, Optional<String> token, Duration timeout)
      throws IOException {
    CompletableFuture<HttpAnswer> answer = start(address, method, path, token, timeout);
    try {
      return answer.get(timeout.plus(COMPLETION_GRACE).toMillis(), TimeUnit.MILLISECONDS);
    } catch (ExecutionException e) {
      throw new IOException(address + ": " + reason(e), e);
    } catch (TimeoutException e) {
      answer.cancel(true);
      throw new IOException(address + ": no answer in time", e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException(address + ": interrupted", e);
    }
  }

  private static String reason(ExecutionException e) {
    Throwable cause = e.getCause();
    return String.valueOf(cause == null ? e.getMessage() : cause.getMessage());
  }
}
