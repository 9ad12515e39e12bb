package org.teaseldeal.gateway.fake;

import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.teaseldeal.net.HttpExchange;
import org.teaseldeal.net.ResponseStream;

/** A caller's request that records its complete answer. */
public class FakeExchange implements HttpExchange {
  private final String path;
  private final byte[] body;
  private final Map<String, String> requestHeaders = new HashMap<>();
  private Duration timeSinceHead = Duration.ZERO;
  private int status;
  private Map<String, String> answerHeaders = Map.of();
  private boolean aborted;
  private boolean finished;
  private byte[] answer = new byte[0];

  /** Creates a request for {@code path} without a body. */
  public FakeExchange(String path) {
    this(path, new byte[0]);
  }

  /** Creates a request for {@code path}. */
  public FakeExchange(String path, byte[] body) {
    this.path = path;
    this.body = body.clone();
  }

  /** Has the caller wait for its answer for {@code timeout} only. */
  public FakeExchange withCallerTimeout(Duration timeout) {
    requestHeaders.put(FakeDialect.CALLER_TIMEOUT_HEADER, Long.toString(timeout.toMillis()));
    return this;
  }

  /** Has the request wait for {@code time} before it is handled. */
  public FakeExchange withTimeSinceHead(Duration time) {
    timeSinceHead = time;
    return this;
  }

  /** The answer's body; empty until the request is answered. */
  public byte[] answer() {
    return answer.clone();
  }

  /** The answer's status; 0 until the request is answered. */
  public int status() {
    return status;
  }

  /** The answer's headers; empty until the request is answered. */
  public Map<String, String> answerHeaders() {
    return answerHeaders;
  }

  /** Whether the connection was closed without a complete answer. */
  public boolean aborted() {
    return aborted;
  }

  /** Whether a stream was ended as complete. */
  public boolean finished() {
    return finished;
  }

  @Override
  public String method() {
    return "POST";
  }

  @Override
  public String path() {
    return path;
  }

  @Override
  public Optional<String> header(String name) {
    return Optional.ofNullable(requestHeaders.get(name));
  }

  @Override
  public List<Map.Entry<String, String>> headers() {
    return List.of();
  }

  @Override
  public byte[] body() {
    return body.clone();
  }

  @Override
  public Duration timeSinceHead() {
    return timeSinceHead;
  }

  @Override
  public String remoteAddress() {
    return "10.0.0.99";
  }

  @Override
  public void respond(int answerStatus, Map<String, String> headers, byte[] answerBody) {
    if (status != 0) {
      throw new IllegalStateException(
          "the request was already answered; second status: " + answerStatus);
    }
    status = answerStatus;
    answerHeaders = Map.copyOf(headers);
    answer = answerBody.clone();
  }

  @Override
  public ResponseStream startStream(int answerStatus, Map<String, String> headers) {
    if (status != 0) {
      throw new IllegalStateException(
          "the request was already answered; second status: " + answerStatus);
    }
    status = answerStatus;
    answerHeaders = Map.copyOf(headers);
    return new RecordedStream();
  }

  @Override
  public void abort() {
    aborted = true;
  }

  @Override
  public void onCallerDisconnect(Runnable action) {
    // Callers always wait for their answers.
  }

  /** A stream whose caller reads at once. */
  private final class RecordedStream implements ResponseStream {
    @Override
    public void write(byte[] part) {
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      all.writeBytes(answer);
      all.writeBytes(part);
      answer = all.toByteArray();
    }

    @Override
    public long pendingBytes() {
      return 0;
    }

    @Override
    public void finish() {
      finished = true;
    }

    @Override
    public void abort() {
      aborted = true;
    }
  }
}
