package org.teaseldeal.core.event;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.teaseldeal.api.AttemptId;
import org.teaseldeal.api.BackendServerId;
import org.teaseldeal.api.EngineState;
import org.teaseldeal.api.IncarnationId;
import org.teaseldeal.api.Usage;
import org.teaseldeal.core.AttemptFailure;
import org.teaseldeal.core.BearerToken;
import org.teaseldeal.core.CallId;
import org.teaseldeal.core.ListedInstance;
import org.teaseldeal.core.ListedServer;
import org.teaseldeal.core.Payload;
import org.teaseldeal.ledger.LogEvent;
import org.teaseldeal.wire.gen.peer.Message;

/** An input to an instance. */
public sealed interface InstanceEvent {
  /**
   * A caller's complete request has arrived.
   *
   * @param service {@code team/service}, or {@code service} for the team of the bearer token
   * @param timeout how long the caller will wait, if it stated a timeout
   */
  record CallerRequest(
      CallId call,
      Optional<BearerToken> token,
      String service,
      Optional<String> idempotencyKey,
      Optional<Duration> timeout,
      Payload payload)
      implements InstanceEvent {}

  /** The caller closed its connection. */
  record CallerDisconnected(CallId call) implements InstanceEvent {}

  /**
   * A frame of an engine's answer has arrived.
   *
   * @param position the number of frames of the answer that precede this one
   * @param data the JSON text of the server-sent event, without the {@code data:} prefix
   */
  record FrameReceived(AttemptId attempt, long position, byte[] data) implements InstanceEvent {}

  /** An engine's answer is complete and consists of {@code frames} frames. */
  record StreamFinished(AttemptId attempt, long frames, Usage usage) implements InstanceEvent {}

  /** A plain service's complete answer has arrived. */
  record PlainAnswerReceived(AttemptId attempt, int status, String contentType, byte[] body)
      implements InstanceEvent {}

  /** An attempt ended without its answer. */
  record AttemptFailed(AttemptId attempt, AttemptFailure failure, String detail)
      implements InstanceEvent {}

  /** An engine reported the usage of an attempt, or empty if it does not know the request. */
  record UsageReported(AttemptId attempt, Optional<Usage> usage) implements InstanceEvent {}

  /** Querying an engine for the usage of an attempt failed. */
  record UsageQueryFailed(AttemptId attempt, String detail) implements InstanceEvent {}

  /** An engine reported its models, adapters and role. */
  record OrderStateReported(BackendServerId server, EngineState state) implements InstanceEvent {}

  /** Querying an engine for its state failed. */
  record OrderStateQueryFailed(BackendServerId server, String detail) implements InstanceEvent {}

  /** An engine accepted the order with the number {@code number}. */
  record OrderAccepted(BackendServerId server, long number) implements InstanceEvent {}

  /** An engine refused an order because it has already seen the fencing token {@code highest}. */
  record OrderRefused(BackendServerId server, long number, long highest) implements InstanceEvent {}

  /**
   * An order was not answered, or with neither acceptance nor refusal. It may have been carried
   * out.
   */
  record OrderFailed(BackendServerId server, long number, String detail) implements InstanceEvent {}

  /** A response of the platform's log. */
  record LogResponseReceived(LogEvent event) implements InstanceEvent {}

  /** The platform's list has been read. It may lag behind. */
  record PlatformListRead(List<ListedInstance> instances, List<ListedServer> servers)
      implements InstanceEvent {
    public PlatformListRead {
      instances = List.copyOf(instances);
      servers = List.copyOf(servers);
    }
  }

  /** Reading the platform's list failed. */
  record PlatformListReadFailed(String detail) implements InstanceEvent {}

  /** A backend server's load report, which was {@code age} old when it arrived. */
  record LoadReported(
      BackendServerId server, int running, int waiting, double cacheUse, Duration age)
      implements InstanceEvent {}

  /** A message from another instance has arrived. */
  record PeerMessageReceived(IncarnationId sender, Message message) implements InstanceEvent {}

  /** The instance is to shut down without interrupting requests in flight. */
  record DrainRequested() implements InstanceEvent {}
}
