package org.teaseldeal.gateway.peer;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.Optional;
import org.teaseldeal.api.ErrorKind;
import org.teaseldeal.api.Preconditions;
import org.teaseldeal.api.Problem;
import org.teaseldeal.gateway.account.HolderPort;

/**
 * The encoding of the messages that instances exchange with the holders of a customer's total of
 * tokens.
 */
final class HolderMessages {
  private static final byte LAYOUT = 1;
  private static final byte GRANTED = 0;
  private static final byte REFUSED = 1;
  private static final long NO_RETRY_AFTER = -1;

  private HolderMessages() {}

  static byte[] encode(HolderPort.Request request) {
    return encodeWith(
        out -> {
          out.writeUTF(request.customer());
          out.writeLong(request.tokens());
          out.writeLong(request.maxWait().toMillis());
          out.writeLong(request.timeLeft().toMillis());
          out.writeLong(request.knownTotal());
        });
  }

  /**
   * Decodes a request for tokens.
   *
   * @throws IllegalArgumentException if {@code message} doesn't have this layout
   */
  static HolderPort.Request decodeRequest(byte[] message) {
    return decodeWith(
        message,
        in ->
            new HolderPort.Request(
                in.readUTF(),
                in.readLong(),
                Duration.ofMillis(in.readLong()),
                Duration.ofMillis(in.readLong()),
                // Instances of an earlier version don't send it.
                in.available() > 0 ? in.readLong() : 0));
  }

  /** Tokens that are returned to their holder because no request has used them. */
  record Return(String customer, long tokens) {
    Return {
      Preconditions.requireText(customer, "customer");
      Preconditions.require(
          tokens > 0, "returned tokens were %d, expected a positive number".formatted(tokens));
    }

    byte[] encode() {
      return encodeWith(
          out -> {
            out.writeUTF(customer);
            out.writeLong(tokens);
          });
    }

    /**
     * Decodes a return of tokens.
     *
     * @throws IllegalArgumentException if {@code message} doesn't have this layout
     */
    static Return decode(byte[] message) {
      return decodeWith(message, in -> new Return(in.readUTF(), in.readLong()));
    }
  }

  static byte[] encodeGranted() {
    return encodeWith(out -> out.writeByte(GRANTED));
  }

  static byte[] encodeRefused(Problem problem) {
    return encodeWith(
        out -> {
          out.writeByte(REFUSED);
          out.writeUTF(problem.kind().name());
          out.writeUTF(problem.detail());
          out.writeLong(problem.retryAfter().map(Duration::toMillis).orElse(NO_RETRY_AFTER));
        });
  }

  /**
   * Decodes a holder's answer.
   *
   * @throws IllegalArgumentException if {@code message} doesn't have this layout
   */
  static HolderPort.Answer decodeAnswer(byte[] message) {
    return decodeWith(
        message,
        in ->
            in.readByte() == GRANTED
                ? new HolderPort.Answer.Granted()
                : new HolderPort.Answer.Refused(decodeProblem(in)));
  }

  private static Problem decodeProblem(DataInputStream in) throws IOException {
    ErrorKind kind = ErrorKind.valueOf(in.readUTF());
    String detail = in.readUTF();
    long retryMillis = in.readLong();
    Optional<Duration> retry =
        retryMillis < 0 ? Optional.empty() : Optional.of(Duration.ofMillis(retryMillis));
    return new Problem(kind, detail, retry, kind.runStatus());
  }

  private interface Writer {
    void write(DataOutputStream out) throws IOException;
  }

  private interface Reader<T> {
    T read(DataInputStream in) throws IOException;
  }

  private static byte[] encodeWith(Writer writer) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (DataOutputStream out = new DataOutputStream(bytes)) {
      out.writeByte(LAYOUT);
      writer.write(out);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return bytes.toByteArray();
  }

  private static <T> T decodeWith(byte[] message, Reader<T> reader) {
    try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(message))) {
      byte layout = in.readByte();
      if (layout != LAYOUT) {
        throw new IllegalArgumentException("layout was %d, expected %d".formatted(layout, LAYOUT));
      }
      return reader.read(in);
    } catch (IOException e) {
      throw new IllegalArgumentException("the message is too short", e);
    }
  }
}
