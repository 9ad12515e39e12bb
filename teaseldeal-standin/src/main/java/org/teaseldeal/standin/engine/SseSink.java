package org.teaseldeal.standin.engine;

import java.nio.charset.StandardCharsets;
import org.teaseldeal.net.ResponseStream;
import org.teaseldeal.standin.fault.ActiveFaults;

/** Sends frames as server-sent events, and injects the faults that affect answers in progress. */
final class SseSink implements FrameSink {
  private static final byte[] DONE = "data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8);

  private final ResponseStream stream;
  private final AnswerMetadata metadata;
  private final ChunkWriter chunks;
  private final ActiveFaults<EngineFaults> faults;
  private final FaultListener listener;
  private final boolean stallsMidStream;
  private int sentFrames;
  private String previousText = "";
  private boolean silent;
  private boolean ended;

  SseSink(
      ResponseStream stream,
      AnswerMetadata metadata,
      ActiveFaults<EngineFaults> faults,
      FaultListener listener) {
    this.stream = stream;
    this.metadata = metadata;
    this.chunks = metadata.chunks(metadata.attemptId());
    this.faults = faults;
    this.listener = listener;
    this.stallsMidStream = faults.shouldInject(faults.current().silentStreamShare());
  }

  @Override
  public void onFrame(int position, String text, boolean last) {
    if (ended || updateSilence()) {
      return;
    }
    EngineFaults current = faults.current();
    if (faults.shouldInject(current.crossedFrameShare())) {
      sendCrossedFrame(position);
    }
    stream.write(chunks.frame(position, text, last ? metadata.finishReason() : ""));
    if (sentFrames > 0 && faults.shouldInject(current.lateFrameShare())) {
      listener.onFaultInjected("late-frame", metadata);
      stream.write(chunks.frame(position - 1, previousText, ""));
    }
    previousText = text;
    sentFrames++;
    if (faults.shouldInject(current.brokenStreamShare())) {
      listener.onFaultInjected("broken-stream", metadata);
      onBroken();
    }
  }

  @Override
  public void onFinished(EngineUsage usage, int frames) {
    if (ended || updateSilence()) {
      return;
    }
    stream.write(chunks.usage(frames, usage));
    stream.write(DONE);
    stream.finish();
    ended = true;
  }

  @Override
  public void onBroken() {
    if (ended) {
      return;
    }
    ended = true;
    stream.abort();
  }

  // A silent stream stays silent even if the fault is switched off, like an engine that has lost
  // track of a connection.
  private boolean updateSilence() {
    if (silent) {
      return true;
    }
    EngineFaults current = faults.current();
    silent =
        current.silentStreams() || (stallsMidStream && sentFrames >= current.silentAfterFrames());
    if (silent) {
      listener.onFaultInjected("silent-stream", metadata);
    }
    return silent;
  }

  private void sendCrossedFrame(int position) {
    listener.onFaultInjected("crossed-frame", metadata);
    String stray = new AnswerText("stray-" + metadata.requestId(), "").frame(position);
    stream.write(metadata.chunks("stray-1").frame(position, stray, ""));
  }

  /** The fields that all chunks of an answer share. */
  record AnswerMetadata(
      String requestId, String attemptId, String model, long createdSecond, String finishReason) {
    ChunkWriter chunks(String attempt) {
      return new ChunkWriter(requestId, attempt, model, createdSecond);
    }
  }

  /** Receives an event for each injected fault. */
  @FunctionalInterface
  interface FaultListener {
    void onFaultInjected(String fault, AnswerMetadata metadata);
  }
}
