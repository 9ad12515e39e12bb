package org.teaseldeal.standin.fault;

import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.teaseldeal.net.AnswerFraming;
import org.teaseldeal.net.EncodedAnswer;
import org.teaseldeal.net.HttpExchange;
import org.teaseldeal.net.ResponseStream;

/** An exchange whose answer has a given framing and ends at a given byte. */
final class FramingExchange implements HttpExchange {
  /** Where the answer ends, its head included, and whether its connection is reset there. */
  record End(int bytes, boolean reset) {
    static final End COMPLETE = new End(Integer.MAX_VALUE, false);
  }

  private final HttpExchange exchange;
  private final Optional<AnswerFraming> framing;
  private final End end;
  private final FaultyAnswers.BreakOffListener listener;

  /**
   * Creates an exchange.
   *
   * @param framing the framing; empty for a length for whole answers and chunks for streams
   */
  FramingExchange(
      HttpExchange exchange,
      Optional<AnswerFraming> framing,
      End end,
      FaultyAnswers.BreakOffListener listener) {
    this.exchange = exchange;
    this.framing = framing;
    this.end = end;
    this.listener = listener;
  }

  @Override
  public String method() {
    return exchange.method();
  }

  @Override
  public String path() {
    return exchange.path();
  }

  @Override
  public Optional<String> header(String name) {
    return exchange.header(name);
  }

  @Override
  public List<Map.Entry<String, String>> headers() {
    return exchange.headers();
  }

  @Override
  public byte[] body() {
    return exchange.body();
  }

  @Override
  public Duration timeSinceHead() {
    return exchange.timeSinceHead();
  }

  @Override
  public String remoteAddress() {
    return exchange.remoteAddress();
  }

  @Override
  public void respond(int status, Map<String, String> headers, byte[] body) {
    AnswerFraming used = framing.orElse(AnswerFraming.LENGTH);
    Output output = new Output(used);
    output.write(used.encode(status, headers, body));
    output.close();
  }

  @Override
  public ResponseStream startStream(int status, Map<String, String> headers) {
    AnswerFraming used = framing.orElse(AnswerFraming.CHUNKS);
    return used == AnswerFraming.LENGTH
        ? new CollectedStream(status, headers)
        : new FramedStream(used, status, headers);
  }

  @Override
  public EncodedAnswer startEncoded() {
    return exchange.startEncoded();
  }

  @Override
  public void abort() {
    exchange.abort();
  }

  @Override
  public void onCallerDisconnect(Runnable action) {
    exchange.onCallerDisconnect(action);
  }

  /** The encoded answer, which ends where it is broken off. */
  private final class Output {
    private final AnswerFraming used;
    private final EncodedAnswer encoded = exchange.startEncoded();
    private int bytesLeft = end.bytes();
    private boolean ended;

    Output(AnswerFraming used) {
      this.used = used;
    }

    synchronized void write(byte[] bytes) {
      if (ended) {
        return;
      }
      boolean last = bytes.length > bytesLeft;
      encoded.write(last ? Arrays.copyOf(bytes, bytesLeft) : bytes);
      bytesLeft -= Math.min(bytesLeft, bytes.length);
      if (last) {
        breakOff();
      }
    }

    private void breakOff() {
      ended = true;
      if (end.reset()) {
        encoded.reset();
      } else {
        encoded.close();
      }
      listener.onBrokenOff(
          exchange.header("request-id").orElse(""), used, end.bytes(), end.reset());
    }

    synchronized void close() {
      if (!ended) {
        ended = true;
        encoded.close();
      }
    }

    synchronized void reset() {
      if (!ended) {
        ended = true;
        encoded.reset();
      }
    }
  }

  /** A stream that is sent part by part. */
  private final class FramedStream implements ResponseStream {
    private final AnswerFraming used;
    private final Output output;

    FramedStream(AnswerFraming used, int status, Map<String, String> headers) {
      this.used = used;
      this.output = new Output(used);
      output.write(used.head(status, headers, 0));
    }

    @Override
    public void write(byte[] part) {
      if (part.length > 0) {
        output.write(used.part(part));
      }
    }

    @Override
    public long pendingBytes() {
      return 0;
    }

    @Override
    public void finish() {
      output.write(used.end());
      output.close();
    }

    @Override
    public void abort() {
      if (used.endsWithConnection()) {
        output.reset();
      } else {
        output.close();
      }
    }
  }

  /** A stream that is sent as a whole at its end, as only then its length is known. */
  private final class CollectedStream implements ResponseStream {
    private final int status;
    private final Map<String, String> headers;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();

    CollectedStream(int status, Map<String, String> headers) {
      this.status = status;
      this.headers = headers;
    }

    @Override
    public synchronized void write(byte[] part) {
      body.writeBytes(part);
    }

    @Override
    public long pendingBytes() {
      return 0;
    }

    @Override
    public synchronized void finish() {
      respond(status, headers, body.toByteArray());
    }

    @Override
    public void abort() {
      exchange.abort();
    }
  }
}
