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

/** Talks to the admin listener of one entry instance. */
public final class AdminClient {
  private static final int UNAUTHORIZED = 401;
  private static final int FORBIDDEN = 403;
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final HttpFetcher http;
  private final Optional<String> token;
  private final Duration timeout;

  /** Creates a client that presents {@code token}. */
  public AdminClient(HttpFetcher http, Optional<String> token, Duration timeout) {
    this.http = http;
    this.token = token;
    this.timeout = timeout;
  }

  /** The instance's state as it tells it. */
  public HttpAnswer dump(String address) throws IOException {
    return http.get(address, "/dump", token, timeout);
  }

  /** Asks the instance to take no new work, finish what it has and end. */
  public HttpAnswer drain(String address) throws IOException {
    return http.post(address, "/drain", token, timeout);
  }

  /** Whether the instance refused the credential. */
  public static boolean refusedCredential(HttpAnswer answer) {
    return answer.status() == UNAUTHORIZED || answer.status() == FORBIDDEN;
  }

  /**
   * How far an instance has folded {@code stream}; never fails.
   *
   * <p>An instance that isn't ready says so too.
   */
  public CompletableFuture<FoldProgress> foldProgress(String address, StreamId stream) {
    return http.start(address, "GET", "/ready", token, timeout)
        .handle((answer, failure) -> read(answer, failure, stream));
  }

  private static FoldProgress read(
      @Nullable HttpAnswer answer, @Nullable Throwable failure, StreamId stream) {
    if (answer == null) {
      String reason = failure == null ? "no answer" : String.valueOf(failure.getMessage());
      return FoldProgress.unknown("was asked in vain: " + reason);
    }
    if (refusedCredential(answer)) {
      return FoldProgress.unknown("refused the credential with status " + answer.status());
    }
    try {
      JsonNode offset = MAPPER.readTree(answer.body()).path("folded_to").path(stream.logName());
      return offset.canConvertToLong()
          ? FoldProgress.known(offset.asLong())
          : FoldProgress.unknown("doesn't say how far it is");
    } catch (IOException e) {
      return FoldProgress.unknown("gave an answer that is no JSON");
    }
  }
}
