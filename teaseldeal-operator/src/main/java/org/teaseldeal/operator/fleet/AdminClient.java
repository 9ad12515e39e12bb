package org.teaseldeal.operator.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;
import org.teaseldeal.ledger.StreamId;
import org.teaseldeal.net.HttpAnswer;

/** Calls the admin listener of one entry instance. */
public final class AdminClient {
  private static final int UNAUTHORIZED = 401;
  private static final int FORBIDDEN = 403;
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final HttpFetcher http;
  private final Optional<String> token;
  private final Duration timeout;

  /** Creates a client that sends {@code token} with each call. */
  public AdminClient(HttpFetcher http, Optional<String> token, Duration timeout) {
    this.http = http;
    this.token = token;
    this.timeout = timeout;
  }

  /** Requests a dump of the instance's state. */
  public HttpAnswer dump(String address) throws IOException {
    return http.get(address, "/dump", token, timeout);
  }

  /** Asks the instance to accept no new work, finish its outstanding work and exit. */
  public HttpAnswer drain(String address) throws IOException {
    return http.post(address, "/drain", token, timeout);
  }

  /** Returns whether the instance refused the credential. */
  public static boolean refusedCredential(HttpAnswer answer) {
    return answer.status() == UNAUTHORIZED || answer.status() == FORBIDDEN;
  }

  /**
   * Requests the offset up to which the instance has folded {@code stream}. The future never
   * completes exceptionally: a failure is a result without an offset.
   *
   * <p>An instance that isn't ready reports its offset too.
   */
  public CompletableFuture<FoldProgress> foldProgress(String address, StreamId stream) {
    return http.start(address, "GET", "/ready", token, timeout)
        .handle((answer, failure) -> read(answer, failure, stream));
  }

  private static FoldProgress read(
      @Nullable HttpAnswer answer, @Nullable Throwable failure, StreamId stream) {
    if (answer == null) {
      String reason = failure == null ? "no answer" : String.valueOf(failure.getMessage());
      return FoldProgress.unknown("could not be queried: " + reason);
    }
    if (refusedCredential(answer)) {
      return FoldProgress.unknown("refused the credential with status " + answer.status());
    }
    try {
      JsonNode offset = MAPPER.readTree(answer.body()).path("folded_to").path(stream.logName());
      return offset.canConvertToLong()
          ? FoldProgress.known(offset.asLong())
          : FoldProgress.unknown("doesn't report its offset");
    } catch (IOException e) {
      return FoldProgress.unknown("returned a response that isn't JSON");
    }
  }
}
