package org.teaseldeal.bench.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.teaseldeal.api.Sha256;

/**
 * Checks that an answer is the caller's own, whole and in order.
 *
 * <p>The stand-in engine's frame {@code n} is {@code <d><p>:<n>} and a space, with the first eight
 * hexadecimal digits of the SHA-256 of request id and prompt; the stand-in service repeats the
 * body. So a part of another answer, a gap and a repeat all show.
 */
public final class AnswerCheck {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int DIGITS = 8;

  private final String promptDigest;
  private @Nullable String requestDigest;
  private long frames;
  private @Nullable String fault;

  /** Creates a check of the answer to {@code prompt}. */
  public AnswerCheck(String prompt) {
    promptDigest = Sha256.hex(prompt).substring(0, DIGITS);
  }

  /** Takes the JSON text of one server-sent event. */
  public void onChunk(String json) {
    try {
      JsonNode content = JSON.readTree(json).at("/choices/0/delta/content");
      if (content.isTextual()) {
        onText(content.textValue());
      }
    } catch (JsonProcessingException e) {
      fault = "a chunk that is not JSON";
    }
  }

  /** Takes text of one or more whole frames. */
  void onText(String text) {
    for (String frame : text.split(" ")) {
      if (!frame.isEmpty()) {
        onFrame(frame);
      }
    }
  }

  /** Takes a whole chat completion. */
  void onWhole(String json) {
    try {
      onText(JSON.readTree(json).at("/choices/0/message/content").asText(""));
    } catch (JsonProcessingException e) {
      fault = "an answer that is not JSON";
    }
  }

  /** Takes a plain service's answer, which repeats the body's digest. */
  void onPlain(String json, String body) {
    try {
      String digest = JSON.readTree(json).path("body_sha256").asText("");
      if (!digest.equals(Sha256.hex(body))) {
        fault = "the answer to another body";
      }
    } catch (JsonProcessingException e) {
      fault = "an answer that is not JSON";
    }
  }

  /** What is wrong with the answer, once {@code expected} frames should be there. */
  public Optional<String> fault(long expected) {
    if (fault == null && frames != expected) {
      return Optional.of("%d frames, expected %d".formatted(frames, expected));
    }
    return Optional.ofNullable(fault);
  }

  /** Frames seen. */
  public long frames() {
    return frames;
  }

  private void onFrame(String frame) {
    int colon = frame.indexOf(':');
    if (colon != 2 * DIGITS) {
      fault = "a frame of unknown form";
      return;
    }
    String request = frame.substring(0, DIGITS);
    if (requestDigest == null) {
      requestDigest = request;
    }
    boolean own =
        request.equals(requestDigest) && frame.substring(DIGITS, colon).equals(promptDigest);
    if (!own) {
      fault = "a frame of another answer";
    } else if (!frame.substring(colon + 1).equals(Long.toString(frames))) {
      fault = "frame %s, expected %d".formatted(frame.substring(colon + 1), frames);
    }
    frames++;
  }
}
