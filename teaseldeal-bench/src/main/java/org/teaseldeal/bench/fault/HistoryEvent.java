package org.teaseldeal.bench.fault;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * An event of a history, as a caller, an operator, a backend server or a reader of the whole log
 * observed it.
 *
 * <p>Only {@link RevisionInForce} is reported by an instance about itself. Times are in
 * milliseconds since the start of the run.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "event")
@JsonSubTypes({
  @JsonSubTypes.Type(value = HistoryEvent.Sent.class, name = "sent"),
  @JsonSubTypes.Type(value = HistoryEvent.HungUp.class, name = "hung-up"),
  @JsonSubTypes.Type(value = HistoryEvent.Ended.class, name = "ended"),
  @JsonSubTypes.Type(value = HistoryEvent.RunStarted.class, name = "ran"),
  @JsonSubTypes.Type(value = HistoryEvent.TokensUsed.class, name = "used"),
  @JsonSubTypes.Type(value = HistoryEvent.TokensGranted.class, name = "granted"),
  @JsonSubTypes.Type(value = HistoryEvent.Charged.class, name = "charged"),
  @JsonSubTypes.Type(value = HistoryEvent.Balance.class, name = "balance"),
  @JsonSubTypes.Type(value = HistoryEvent.SettingsPublished.class, name = "published"),
  @JsonSubTypes.Type(value = HistoryEvent.RevisionInForce.class, name = "in-force"),
  @JsonSubTypes.Type(value = HistoryEvent.ServerLeaving.class, name = "leaving"),
  @JsonSubTypes.Type(value = HistoryEvent.Lifecycle.class, name = "lifecycle"),
  @JsonSubTypes.Type(value = HistoryEvent.FaultInjected.class, name = "struck")
})
public sealed interface HistoryEvent {
  /** A caller sent a request. */
  record Sent(
      long at, int call, String instance, String service, @Nullable String key, boolean idempotent)
      implements HistoryEvent {}

  /** A caller closed its connection before it had its answer. */
  record HungUp(long at, int call) implements HistoryEvent {}

  /** The ways in which a request ends for its caller. */
  enum End {
    WHOLE,
    REFUSED,
    BROKEN,
    CONNECTION_LOST,
    /** The instance did not accept the connection, so the request was not sent. */
    CONNECTION_REFUSED
  }

  /**
   * A caller's request ended.
   *
   * @param ends the number of final answers that the caller received; more than one is a fault
   * @param parts the frames of a stream, or the body of a plain answer
   * @param run the value of the error's {@code run} field, which says whether the request was run
   * @param freeTokens if the request was refused for lack of tokens, the unreserved tokens at that
   *     time, otherwise 0
   */
  record Ended(
      long at,
      int call,
      String request,
      End end,
      int ends,
      List<String> parts,
      @Nullable String error,
      @Nullable String run,
      long freeTokens)
      implements HistoryEvent {
    public Ended {
      parts = List.copyOf(parts);
    }
  }

  /** A backend server started to run a request. */
  record RunStarted(long at, String server, String request) implements HistoryEvent {}

  /** The tokens that all requests run by a backend server have used in total. */
  record TokensUsed(String server, long tokens) implements HistoryEvent {}

  /** An operator granted tokens. */
  record TokensGranted(long at, String account, long tokens) implements HistoryEvent {}

  /** The log contains a charge. */
  record Charged(String request, long tokens) implements HistoryEvent {}

  /** A budget's state in the log at the end of the run. */
  record Balance(
      String account, long granted, long charged, long writtenOff, long leased, long remaining)
      implements HistoryEvent {}

  /** An operator published settings, and the log accepted or rejected them. */
  record SettingsPublished(long at, String operator, long revision, boolean accepted)
      implements HistoryEvent {}

  /** A settings revision took effect in an instance. */
  record RevisionInForce(long at, String incarnation, long revision) implements HistoryEvent {}

  /** The platform began to list a backend server as leaving. */
  record ServerLeaving(long at, String server) implements HistoryEvent {}

  /** The lifecycle changes of an incarnation. */
  enum Change {
    STARTED,
    KILLED,
    DRAINED,
    RETIRED
  }

  /** An incarnation was started, killed, asked to drain or retired. */
  record Lifecycle(long at, String incarnation, Change change) implements HistoryEvent {}

  /**
   * A fault was injected.
   *
   * @param lasting the duration of the fault in milliseconds
   * @param stages the number of requests in each stage at the time of injection
   */
  record FaultInjected(long at, String fault, long lasting, Map<String, Integer> stages)
      implements HistoryEvent {
    public FaultInjected {
      stages = Map.copyOf(stages);
    }
  }
}
