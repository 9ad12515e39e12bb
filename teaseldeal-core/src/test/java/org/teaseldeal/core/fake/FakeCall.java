package org.teaseldeal.core.fake;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.teaseldeal.api.ErrorKind;
import org.teaseldeal.api.Problem;
import org.teaseldeal.api.RequestId;
import org.teaseldeal.api.Usage;
import org.teaseldeal.core.CallId;

/** A call as its caller saw it. */
public final class FakeCall {
  private final CallId id;
  private final List<String> frames = new ArrayList<>();
  private @Nullable RequestId request;
  private @Nullable Problem problem;
  private boolean broken;
  private @Nullable Usage usage;
  private @Nullable String plainBody;
  private boolean connectionLost;
  private int finalAnswerCount;

  FakeCall(CallId id) {
    this.id = id;
  }

  public CallId id() {
    return id;
  }

  void onFrame(RequestId requestId, byte[] data) {
    request = requestId;
    frames.add(new String(data, UTF_8));
  }

  void onFinish(RequestId requestId, Usage reported) {
    request = requestId;
    usage = reported;
    finalAnswerCount++;
  }

  void onPlain(RequestId requestId, byte[] body) {
    request = requestId;
    plainBody = new String(body, UTF_8);
    finalAnswerCount++;
  }

  void onProblem(RequestId requestId, Problem received, boolean afterFrames) {
    request = requestId;
    problem = received;
    broken = afterFrames;
    finalAnswerCount++;
  }

  void onConnectionLost() {
    connectionLost = finalAnswerCount == 0;
  }

  /**
   * Returns whether the caller has received its final answer or lost its connection before that.
   */
  public boolean ended() {
    return finalAnswerCount > 0 || connectionLost;
  }

  /** Returns the number of final answers. More than one is a fault. */
  public int finalAnswerCount() {
    return finalAnswerCount;
  }

  public Optional<RequestId> request() {
    return Optional.ofNullable(request);
  }

  public Optional<ErrorKind> error() {
    return Optional.ofNullable(problem).map(Problem::kind);
  }

  public Optional<Problem> problem() {
    return Optional.ofNullable(problem);
  }

  public boolean broken() {
    return broken;
  }

  public Optional<Usage> usage() {
    return Optional.ofNullable(usage);
  }

  public Optional<String> plainBody() {
    return Optional.ofNullable(plainBody);
  }

  public List<String> frames() {
    return List.copyOf(frames);
  }

  /**
   * Returns whether the caller received exactly the {@code count} frames of its own request and the
   * end of the answer.
   */
  public boolean isComplete(long count) {
    RequestId requestId = request;
    if (requestId == null || usage == null || frames.size() != count) {
      return false;
    }
    for (int i = 0; i < count; i++) {
      if (!frames.get(i).equals(new String(FakeServer.frame(requestId, i), UTF_8))) {
        return false;
      }
    }
    return true;
  }

  @Override
  public String toString() {
    return "call %d of %s: %d frames, usage %s, plain %s, problem %s%s, ends %d%s"
        .formatted(
            id.number(),
            request,
            frames.size(),
            usage,
            plainBody,
            problem,
            broken ? " (broken)" : "",
            finalAnswerCount,
            connectionLost ? ", connection lost" : "");
  }
}
