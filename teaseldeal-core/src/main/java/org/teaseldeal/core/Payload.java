package org.teaseldeal.core;

import java.util.OptionalLong;
import org.teaseldeal.api.Preconditions;

/** The request that a caller wants to run. */
public sealed interface Payload {
  /** Returns the body that is sent to the backend server. */
  byte[] body();

  /**
   * A chat completion.
   *
   * @param inputTokenBound an upper bound of the input tokens that the engine will count, such as
   *     the number of UTF-8 bytes of the prompt
   * @param maxOutputTokens the caller's own cap on the output, if it set one
   * @param stream whether the caller wants server-sent events
   */
  record ModelCall(byte[] body, long inputTokenBound, OptionalLong maxOutputTokens, boolean stream)
      implements Payload {
    public ModelCall {
      Preconditions.requireNotNegative(inputTokenBound, "input token bound");
    }
  }

  /** A call of a plain service. {@code path} starts with a slash and includes the query. */
  record PlainCall(String method, String path, String contentType, byte[] body)
      implements Payload {}
}
