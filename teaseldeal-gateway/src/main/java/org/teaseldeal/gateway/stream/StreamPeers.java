package org.teaseldeal.gateway.stream;

import java.util.function.Consumer;

/** Tells other instances at which software version streams began, and asks them. */
public interface StreamPeers {
  /** What another instance answers to the question for a stream's version. */
  sealed interface Answer {
    /** The stream began at {@code version}. */
    record Known(String version) implements Answer {}

    /** The instance doesn't know the stream. */
    record Unknown() implements Answer {}

    /** The instance did not answer. */
    record Unreachable(String detail) implements Answer {}
  }

  /** Tells an instance the version of a stream. The message may be lost. */
  void announce(String instance, StreamKey stream, String version);

  /** Asks an instance for the version of a stream; {@code answer} is called exactly once. */
  void ask(String instance, StreamKey stream, Consumer<Answer> answer);
}
