package org.teaseldeal.gateway.handover;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UTFDataFormatException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.teaseldeal.api.Preconditions;
import org.teaseldeal.net.AnswerMatch;
import org.teaseldeal.net.HttpExchange;
import org.teaseldeal.net.HttpHandler;

/**
 * A caller's request on its way from the instance that received it to the one that decides about
 * it.
 *
 * @param sender the name of the instance that hands it over
 * @param number a number that the sender uses for this request only
 * @param planVersion the version of the sender's plan
 * @param maxAttempts how many servers the request may be sent to
 * @param waited the time from the request's arrival until it was handed over
 * @param senderDelay by how much the sender is late
 * @param headers the caller's headers, in order
 */
record HandoverMessage(
    String sender,
    long number,
    long planVersion,
    int maxAttempts,
    Duration waited,
    Duration senderDelay,
    String method,
    String target,
    List<Map.Entry<String, String>> headers,
    byte[] body) {
  /** What became of a request, in the head of the answer. */
  enum Result {
    /** The answer is the caller's, as a whole. */
    COMPLETE,
    /** The answer is the caller's, in parts. */
    STREAM,
    /** The request was not taken, and will not be run because of this message. */
    NOT_TAKEN,
    /** A request with this number was taken before, and may have run. */
    REPEATED,
    /** The instance failed; the request may have run. */
    FAILED,
    /** The instance would take a request now. */
    WILLING
  }

  static final String RESULT = "teaseldeal-handover";

  /** The number of the call, which each answer to it repeats. */
  private static final String CALL = "teaseldeal-handover-call";

  private static final int LAYOUT = 1;
  private static final int MAX_HEADERS = 0xffff;
  private static final int FIXED_BYTES = 512;

  /** Headers of a single connection, which the instances' own client and server set. */
  private static final Set<String> CONNECTION_HEADERS =
      Set.of("connection", "content-length", "keep-alive", "transfer-encoding", RESULT, CALL);

  /**
   * Encodes the request.
   *
   * @throws IllegalArgumentException if a part of it is too long for a message
   */
  byte[] encode() {
    Preconditions.require(
        headers.size() <= MAX_HEADERS,
        "headers were %d, expected at most %d".formatted(headers.size(), MAX_HEADERS));
    ByteArrayOutputStream bytes = new ByteArrayOutputStream(FIXED_BYTES + body.length);
    try (DataOutputStream out = new DataOutputStream(bytes)) {
      out.writeByte(LAYOUT);
      out.writeUTF(sender);
      out.writeLong(number);
      out.writeLong(planVersion);
      out.writeInt(maxAttempts);
      out.writeLong(waited.toNanos());
      out.writeLong(senderDelay.toNanos());
      out.writeUTF(method);
      out.writeUTF(target);
      out.writeShort(headers.size());
      for (Map.Entry<String, String> header : headers) {
        out.writeUTF(header.getKey());
        out.writeUTF(header.getValue());
      }
      out.writeInt(body.length);
      out.write(body);
    } catch (UTFDataFormatException e) {
      throw new IllegalArgumentException("a header or the target is too long for a message", e);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return bytes.toByteArray();
  }

  /**
   * Decodes a request.
   *
   * @throws IllegalArgumentException if {@code bytes} are not a whole request in a known layout
   */
  static HandoverMessage decode(byte[] bytes) {
    try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes))) {
      int layout = in.readUnsignedByte();
      if (layout != LAYOUT) {
        throw new IllegalArgumentException("layout was %d, expected %d".formatted(layout, LAYOUT));
      }
      HandoverMessage message =
          new HandoverMessage(
              in.readUTF(),
              in.readLong(),
              in.readLong(),
              in.readInt(),
              readDuration(in),
              readDuration(in),
              in.readUTF(),
              in.readUTF(),
              readHeaders(in),
              readBody(in));
      if (in.available() > 0 || message.maxAttempts < 1) {
        throw new IllegalArgumentException(
            "the message has more bytes than a request, or none may be sent");
      }
      return message;
    } catch (IOException e) {
      throw new IllegalArgumentException("the message is not whole", e);
    }
  }

  private static Duration readDuration(DataInputStream in) throws IOException {
    long nanos = in.readLong();
    if (nanos < 0) {
      throw new IllegalArgumentException(
          "a time was %d ns, expected none before 0".formatted(nanos));
    }
    return Duration.ofNanos(nanos);
  }

  private static List<Map.Entry<String, String>> readHeaders(DataInputStream in)
      throws IOException {
    int count = in.readUnsignedShort();
    List<Map.Entry<String, String>> headers = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      headers.add(Map.entry(in.readUTF(), in.readUTF()));
    }
    return headers;
  }

  private static byte[] readBody(DataInputStream in) throws IOException {
    int length = in.readInt();
    if (length < 0 || length > in.available()) {
      throw new IllegalArgumentException("the body's length was %d".formatted(length));
    }
    return in.readNBytes(length);
  }

  /** Returns the headers of a call to another instance. */
  static Map<String, String> callHeaders(long call) {
    return Map.of(CALL, Long.toString(call));
  }

  /** Returns the headers of an answer to another instance's call. */
  static Map<String, String> withResult(
      HttpExchange exchange, Map<String, String> headers, Result result) {
    Map<String, String> all = new HashMap<>(headers);
    all.put(RESULT, result.name());
    all.remove(CALL);
    exchange.header(CALL).ifPresent(call -> all.put(CALL, call));
    return all;
  }

  /** Returns which call an answer names; that of an instance of an earlier release none. */
  static AnswerMatch match(long call, Map<String, String> headers) {
    return AnswerMatch.of(headers.get(CALL), Long.toString(call));
  }

  /** Returns the headers of an answer that are passed on to the caller. */
  static Map<String, String> callersHeaders(Map<String, String> headers) {
    Map<String, String> kept = new HashMap<>(headers);
    kept.keySet().removeAll(CONNECTION_HEADERS);
    return kept;
  }

  /**
   * Returns the result in an answer. One without a result comes from an instance of an earlier
   * release, or was given before the request was looked at, unless the instance failed.
   */
  static Result result(int status, Map<String, String> headers) {
    String name = headers.get(RESULT);
    for (Result result : Result.values()) {
      if (result.name().equals(name)) {
        return result;
      }
    }
    return status == HttpHandler.FAILED_STATUS ? Result.FAILED : Result.NOT_TAKEN;
  }
}
