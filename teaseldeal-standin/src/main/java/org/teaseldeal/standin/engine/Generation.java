package org.teaseldeal.standin.engine;

import java.util.ArrayList;
import java.util.List;

/** The generation of one request's answer: its state, its frames so far and their readers. */
final class Generation {
  private final GenerationRequest request;
  private final long arrival;
  private final List<String> promptTokens;
  private final AnswerText text;
  private final List<FrameSink> sinks = new ArrayList<>();
  private State state = State.WAITING;
  private boolean started;
  private int frames;

  Generation(GenerationRequest request, long arrival) {
    this.request = request;
    this.arrival = arrival;
    this.promptTokens = request.promptTokens();
    this.text = new AnswerText(request.requestId(), request.prompt());
  }

  GenerationRequest request() {
    return request;
  }

  long arrival() {
    return arrival;
  }

  List<String> promptTokens() {
    return promptTokens;
  }

  State state() {
    return state;
  }

  int frames() {
    return frames;
  }

  /** Returns the usage so far, which is zero until the generation starts to read the prompt. */
  EngineUsage usage() {
    return started ? new EngineUsage(promptTokens.size(), frames) : EngineUsage.NONE;
  }

  void start() {
    started = true;
    state = State.RUNNING;
  }

  /** Generates the next frame and passes it to all readers; returns whether it was the last. */
  boolean generateFrame() {
    int position = frames;
    frames++;
    boolean last = frames >= request.frames();
    for (FrameSink sink : List.copyOf(sinks)) {
      sink.onFrame(position, text.frame(position), last);
    }
    if (last) {
      end(State.FINISHED);
    }
    return last;
  }

  void cancel() {
    end(State.CANCELLED);
  }

  /**
   * Passes the frames from {@code from} on to {@code sink}: existing frames at once, and later ones
   * when they are generated.
   */
  void attach(FrameSink sink, int from) {
    for (int position = from; position < frames; position++) {
      sink.onFrame(position, text.frame(position), position + 1 >= request.frames());
    }
    if (state.ended()) {
      notifyEnd(sink);
      return;
    }
    sinks.add(sink);
  }

  void detach(FrameSink sink) {
    sinks.remove(sink);
  }

  private void end(State ended) {
    state = ended;
    List<FrameSink> readers = List.copyOf(sinks);
    sinks.clear();
    readers.forEach(this::notifyEnd);
  }

  private void notifyEnd(FrameSink sink) {
    if (state == State.FINISHED) {
      sink.onFinished(usage(), frames);
    } else {
      sink.onBroken();
    }
  }

  /** The state of a generation; the label is the name that answers and the history use. */
  enum State {
    WAITING("running", false),
    RUNNING("running", false),
    FINISHED("finished", true),
    CANCELLED("cancelled", true);

    private final String label;
    private final boolean ended;

    State(String label, boolean ended) {
      this.label = label;
      this.ended = ended;
    }

    String label() {
      return label;
    }

    boolean ended() {
      return ended;
    }
  }
}
