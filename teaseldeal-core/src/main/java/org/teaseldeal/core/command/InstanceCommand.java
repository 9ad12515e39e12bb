package org.teaseldeal.core.command;

import java.util.OptionalLong;
import org.teaseldeal.api.AttemptId;
import org.teaseldeal.api.BackendServerId;
import org.teaseldeal.api.CustomerId;
import org.teaseldeal.api.EngineOrder;
import org.teaseldeal.api.Problem;
import org.teaseldeal.api.RequestId;
import org.teaseldeal.api.ServiceId;
import org.teaseldeal.api.Usage;
import org.teaseldeal.core.CallId;
import org.teaseldeal.core.Payload;
import org.teaseldeal.ledger.LogCommand;
import org.teaseldeal.wire.gen.peer.Message;

/** An output of an instance. Commands are carried out in order. */
public sealed interface InstanceCommand {
  /** Sends the caller an error as its final answer, before any byte of an answer. */
  record RefuseCall(CallId call, RequestId request, Problem problem) implements InstanceCommand {}

  /** Sends the caller the next frame of its answer. */
  record SendFrame(CallId call, RequestId request, byte[] data) implements InstanceCommand {}

  /** Ends the caller's answer after it has been sent completely. */
  record FinishStream(CallId call, RequestId request, Usage usage) implements InstanceCommand {}

  /** Ends the caller's incomplete answer in a way that the caller can detect. */
  record AbortStream(CallId call, RequestId request, Problem problem) implements InstanceCommand {}

  /** Sends the caller a plain service's complete answer. */
  record AnswerPlain(CallId call, RequestId request, int status, String contentType, byte[] body)
      implements InstanceCommand {}

  /**
   * Starts an attempt or, if {@code resumeFrom} is present, continues the request's stream from
   * that position.
   *
   * @param model the model name that is sent to the engine; empty for plain services
   * @param maxOutputTokens the output cap that is sent to the engine; zero for plain services
   * @param priority the rank of the request's priority class; lower ranks are served first
   */
  record StartAttempt(
      AttemptId attempt,
      RequestId request,
      BackendServerId server,
      String address,
      Payload payload,
      String model,
      long maxOutputTokens,
      int priority,
      OptionalLong resumeFrom)
      implements InstanceCommand {}

  /** Stops an attempt: closes its connection and, at an engine, cancels the request. */
  record CancelAttempt(AttemptId attempt, RequestId request, String address)
      implements InstanceCommand {}

  /** Closes an attempt's connection without cancelling the request at its engine. */
  record DropAttempt(AttemptId attempt) implements InstanceCommand {}

  /** Queries an engine for the usage of a request. */
  record QueryUsage(AttemptId attempt, RequestId request, String address)
      implements InstanceCommand {}

  /** Queries an engine for its models, adapters and role. */
  record QueryOrderState(BackendServerId server, String address) implements InstanceCommand {}

  /**
   * Sends an order to an engine.
   *
   * @param fencing the fencing token, which is the term of the instance that sends the order
   * @param number identifies the order in the event that reports its result
   */
  record SendOrder(
      BackendServerId server, String address, long fencing, long number, EngineOrder order)
      implements InstanceCommand {}

  /** An operation on the platform's log. */
  record RunLogCommand(LogCommand command) implements InstanceCommand {}

  /** Sends a message to the peer address of another instance. */
  record SendPeerMessage(String address, Message message) implements InstanceCommand {}

  /**
   * Reports for the event log that a request has ended.
   *
   * @param outcome {@code answered}, {@code caller-gone} or the label of the error that was
   *     returned
   * @param revision the highest revision of the settings in force
   */
  record RequestEnded(
      RequestId request,
      ServiceId service,
      CustomerId customer,
      String outcome,
      int attempts,
      long revision)
      implements InstanceCommand {}

  /** All work is done and the process may exit. */
  record Stop() implements InstanceCommand {}
}
