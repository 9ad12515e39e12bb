package org.teaseldeal.bench.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.teaseldeal.api.Sha256;

/**
 * Checks that an answer belongs to the caller's request and that it is complete and in order.
 *
 * <p>Frame {@code n} of the stand-in engine is {@code <d><p>:<n>} followed by a space, where {@code
 * d} and {@code p} are the first eight hexadecimal digits of the SHA-256 of the request id and of
 * the prompt. The stand-in service repeats the body. The check therefore detects parts of another
 * answer, missing frames and repeated frames.
 */
public final class AnswerCheck {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int DIGEST_DIGITS = 8;

  private final String promptDigest;
  private @Nullable String requestDigest;
  private long frames;
  private @Nullable String problem;

  /** Creates a check for the answer to {@code prompt}. */
  public AnswerCheck(String prompt) {
    promptDigest = Sha256.hex(prompt).substring(0, DIGEST_DIGITS);
  }

  /** Checks the JSON text of one server-sent event. */
  public void onChunk(String json) {
    try {
      JsonNode content = JSON.readTree(json).at("/choices/0/delta/content");
      if (content.isTextual()) {
        onText(content.textValue());
      }
    } catch (JsonProcessingException e) {
      problem = "a chunk that is not JSON";
    }
  }

  /** Checks the text of one or more complete frames. */
  void onText(String text) {
    for (String frame : text.split(" ")) {
      if (!frame.isEmpty()) {
        onFrame(frame);
      }
    }
  }

  /** Checks a chat completion that was not streamed. */
  void onCompleteAnswer(String json) {
    try {
      onText(JSON.readTree(json).at("/choices/0/message/content").asText(""));
    } catch (JsonProcessingException e) {
      problem = "an answer that is not JSON";
    }
  }

  /** Checks a plain service's answer, which contains the digest of the request body. */
  void onPlain(String json, String body) {
    try {
      String digest = JSON.readTree(json).path("body_sha256").asText("");
      if (!digest.equals(Sha256.hex(body))) {
        problem = "the answer to another body";
      }
    } catch (JsonProcessingException e) {
      problem = "an answer that is not JSON";
    }
  }

  /**
   * Returns what is wrong with the answer, or empty if it is correct.
   *
   * @param expected the number of frames that the complete answer has
   */
  public Optional<String> problem(long expected) {
    if (problem == null && frames != expected) {
      return Optional.of("%d frames, expected %d".formatted(frames, expected));
    }
    return Optional.ofNullable(problem);
  }

  /** Returns the number of frames received. */
  public long frames() {
    return frames;
  }

  private void onFrame(String frame) {
    int colon = frame.indexOf(':');
    if (colon != 2 * DIGEST_DIGITS) {
      problem = "a frame of unknown form";
      return;
    }
    String request = frame.substring(0, DIGEST_DIGITS);
    if (requestDigest == null) {
      requestDigest = request;
    }
    boolean own =
        request.equals(requestDigest) && frame.substring(DIGEST_DIGITS, colon).equals(promptDigest);
    if (!own) {
      problem = "a frame of another answer";
    } else if (!frame.substring(colon + 1).equals(Long.toString(frames))) {
      problem = "frame %s, expected %d".formatted(frame.substring(colon + 1), frames);
    }
    frames++;
  }
}
