package org.teaseldeal.gateway.event;

import java.time.Duration;

/**
 * The closed set of events: decisions about requests, and changes of what the instance knows. The
 * names of the records and of their components appear in the event log.
 */
public sealed interface GatewayEvent {
  /** The name of the event in logs and metrics. */
  default String label() {
    return getClass().getSimpleName();
  }

  /**
   * A request can't have its tokens reserved at once.
   *
   * @param tokens the largest number of tokens that the request can use
   * @param idleHere the tokens of the customer that this instance has leased and not reserved
   * @param logReachable whether more tokens can be leased at present
   */
  record WaitsForTokens(
      String request, String customer, long tokens, long idleHere, boolean logReachable)
      implements GatewayEvent {}

  /**
   * No server of the request's service has room for it, so it waits at this instance.
   *
   * @param waiting the requests of the service that wait here, including this one
   * @param startsPerSecond the rate at which this instance expects to send them
   */
  record WaitsForRoom(String request, String service, int rank, int waiting, double startsPerSecond)
      implements GatewayEvent {}

  /**
   * A request was sent to a backend server.
   *
   * @param attempt the number of the attempt, starting at 1
   * @param running the requests that this instance already had at the server
   * @param othersRunning the requests that the other instances presumably had there
   * @param tokensAhead the prompt tokens that the server presumably has to read before this prompt
   * @param readAgain the tokens that the server has to read although earlier prompts shared them
   * @param heardAgo the age of the other instances' load figures
   * @param candidates the number of servers that the choice was made from
   * @param otherVersions the number of servers that were left out because the stream began at
   *     another software version
   * @param version the version of the server's software
   * @param resumeAfter the id of the last event that the caller has received; empty if the stream
   *     starts from the beginning
   * @param resumes the caller's attempt that brought the stream's first event, if the caller takes
   *     up a stream of an earlier attempt; otherwise empty
   * @param fingerprint a hash that is equal for all attempts of the caller
   * @param relayed whether it was sent through another instance
   * @param serverLimit the requests in a second that the server takes; negative without a limit
   * @param limitedServers the servers of the service that take a limited number of requests
   */
  record Placed(
      String request,
      String service,
      String server,
      String version,
      int attempt,
      int running,
      int othersRunning,
      long tokensAhead,
      long readAgain,
      Duration heardAgo,
      int candidates,
      int otherVersions,
      String resumeAfter,
      String resumes,
      String fingerprint,
      boolean relayed,
      double serverLimit,
      int limitedServers)
      implements GatewayEvent {}

  /**
   * The version at which a stream goes on that its caller takes up again was determined.
   *
   * @param resumes the caller's attempt that brought the stream's first event
   * @param resumeAfter the id of the last event that the caller has received; empty if it gave none
   * @param version the software version of the server that began the stream
   * @param source how this instance knows the version
   * @param took how long it took to determine it
   */
  record StreamTakenUp(
      String request,
      String resumes,
      String resumeAfter,
      String version,
      String source,
      Duration took)
      implements GatewayEvent {}

  /**
   * A stream does not go on, neither inside its answer nor for a caller that takes it up.
   *
   * @param resumes the caller's attempt that brought the stream's first event; empty if it is this
   *     one, or if the caller didn't name it
   * @param version the software version of the server that began the stream; empty if unknown
   * @param reason why it doesn't go on, in lower case with underscores
   */
  record StreamNotResumed(
      String request, String service, String resumes, String version, String reason)
      implements GatewayEvent {}

  /**
   * A request's answer began, or continued after a pause, later than its target. {@link
   * RequestEnded} follows.
   *
   * @param waited the time spent waiting for tokens of the customer's total
   * @param placed the time from the request's arrival until it was sent to the server that answered
   * @param began the time from the request's arrival until its answer began
   * @param longestPause the longest pause between two parts of the answer
   * @param pauseAim the longest pause that meets the target
   */
  record AnsweredLate(
      String request,
      Duration waited,
      Duration placed,
      Duration began,
      Duration longestPause,
      Duration pauseAim)
      implements GatewayEvent {}

  /**
   * The event loop was blocked, so nothing was sent or received for a while.
   *
   * @param late the delay of the loop's tick
   */
  record LoopStalled(Duration late) implements GatewayEvent {}

  /** A holder of a customer's total did not answer. It gets no requests for a while. */
  record HolderUnreachable(String customer, String holder, String detail) implements GatewayEvent {}

  /**
   * An attempt at a backend server ended without a complete answer.
   *
   * @param silent how long the server had sent nothing
   * @param events the complete events that the server sent
   * @param promptParts the ids of the prompt's shared parts, separated by commas; empty unless the
   *     request may have run
   */
  record AttemptFailed(
      String request,
      String server,
      int attempt,
      String failure,
      String detail,
      Duration after,
      Duration silent,
      long events,
      String promptParts)
      implements GatewayEvent {}

  /**
   * An attempt was cancelled because another server delivered a part of the answer before it.
   *
   * @param deliveredBy the server that is kept
   * @param silent how long the cancelled attempt's server had sent nothing
   */
  record AttemptSuperseded(
      String request,
      String server,
      int attempt,
      String deliveredBy,
      Duration after,
      Duration silent)
      implements GatewayEvent {}

  /**
   * The head of a backend server's answer to an attempt was received.
   *
   * @param signature the server's signature of the answer; empty if it has none
   * @param match whether the answer names the request, a name of {@link
   *     org.teaseldeal.net.AnswerMatch}
   * @param connection the number of the connection in this process
   * @param call the number of the attempt among the calls of the connection, from 1
   * @param skipped the number of answers that were skipped since the attempt was sent
   */
  record AnswerReceived(
      String request,
      String server,
      int attempt,
      int status,
      String signature,
      String match,
      long connection,
      int call,
      int skipped)
      implements GatewayEvent {}

  /**
   * An answer to another request was received, and skipped, while an attempt waited for its own.
   *
   * @param answeredRequest the request that the answer names
   * @param signature the server's signature of the answer; empty if it has none
   * @param connection the number of the connection in this process
   * @param call the number of the attempt among the calls of the connection, from 1
   */
  record AnswerSkipped(
      String request,
      String server,
      String answeredRequest,
      int status,
      String signature,
      long connection,
      int call)
      implements GatewayEvent {}

  /**
   * The end of a backend server's answer does not show by itself that the answer is complete: it
   * was not marked by a length or a last chunk, or a stream ended inside an event.
   *
   * @param end how the end was marked, a name of {@link org.teaseldeal.net.AnswerEnd}
   * @param events the complete events of this answer
   * @param unfinishedBytes the bytes after the last complete event; 0 if the answer is no stream
   */
  record AnswerEnded(String request, String server, String end, long events, int unfinishedBytes)
      implements GatewayEvent {}

  /**
   * A request got its final answer, or its caller left.
   *
   * @param outcome {@code answered}, {@code caller-gone} or the label of an error
   * @param status the status of the answer; 0 if there was none
   * @param chargedTokens the tokens charged to the customer; 0 if the customer has no total
   * @param plan the version of the plan that routed the request; 0 if there was none
   * @param waited the time spent waiting for tokens of the customer's total
   * @param took the time from the request's arrival to its end
   * @param kind the kind of the request's route
   * @param aim the target for the time until the answer begins
   * @param fingerprint a hash that is equal for all attempts of the caller
   */
  record RequestEnded(
      String request,
      String route,
      String customer,
      String outcome,
      int status,
      String detail,
      int attempts,
      long chargedTokens,
      long plan,
      Duration waited,
      Duration took,
      String kind,
      Duration aim,
      String fingerprint)
      implements GatewayEvent {}

  /**
   * A new plan became the current one.
   *
   * @param took how long the event loop was blocked by reading it
   */
  record PlanInForce(long version, int routes, String source, Duration took)
      implements GatewayEvent {}

  /** A published plan could not be read. The previous plan remains the current one. */
  record PlanUnreadable(long offset, String detail) implements GatewayEvent {}

  /**
   * A read of a topic of the shared log did not return all records that the topic had.
   *
   * @param records how many it returned
   * @param newerRecords how many follow them
   * @param took how long the read took
   */
  record TopicBehind(String topic, int records, long newerRecords, Duration took)
      implements GatewayEvent {}

  /**
   * A backend server was listed, restarted, is leaving, or was removed from the list.
   *
   * @param version the version of its software; empty if only its id is known
   */
  record ServerListed(String server, String service, String address, String version, String state)
      implements GatewayEvent {}

  /**
   * The latest record of a backend server is invalid. The server gets no requests until a valid
   * record arrives.
   *
   * @param reason the label of the problem
   * @param detail the value that was found
   */
  record ServerUnusable(String server, String reason, String detail) implements GatewayEvent {}

  /**
   * A backend server began to warm up, or has warmed up. While it warms up it tolerates fewer
   * requests.
   *
   * @param left how much longer it warms up; zero if it has warmed up
   */
  record ServerWarmUp(String server, String service, boolean warmingUp, Duration left)
      implements GatewayEvent {}

  /**
   * The operator asked for a data centre to be evacuated, or took that back. While it is evacuated,
   * nothing new is sent to its backend servers.
   *
   * @param offset the offset of the operator's record; of the record that was taken back if the
   *     list of records was read anew
   * @param servers the listed backend servers in the data centre
   */
  record DataCentreEvacuation(String dataCentre, boolean evacuated, long offset, int servers)
      implements GatewayEvent {}

  /** The instance started, became ready, is draining, stopped, or reloaded its settings. */
  record InstanceState(String state, String detail) implements GatewayEvent {}

  /** A service that the instance depends on became unreachable or reachable. */
  record Dependency(String name, boolean reachable, String detail) implements GatewayEvent {}

  /**
   * This instance's own path to a backend server was lost or works again. Other instances may still
   * reach the server.
   *
   * @param evidence why the path counts as lost; empty if it works again
   * @param lostFor how long it was lost; zero if it was lost just now
   */
  record ServerPath(
      String server, String address, boolean reachable, String evidence, Duration lostFor)
      implements GatewayEvent {}

  /**
   * The servers of a service have announced that they fail if they have to reject too many
   * requests, or that they don't any more.
   *
   * @param maxRejections the rejections in a second that a server endures; 0 if {@code brittle} is
   *     false
   */
  record ServersBrittle(String service, boolean brittle, int maxRejections)
      implements GatewayEvent {}

  /**
   * A process of a backend server named a limit of the requests that it takes in a second from all
   * instances together, changed it, or names it no longer.
   *
   * @param server the id of the server, and when its process started in milliseconds since 1970
   * @param state {@code named}, {@code changed} or {@code ended}
   * @param requestsPerSecond the limit; the last one if it has ended
   * @param sequence grows with each change that any instance saw
   * @param source the instance whose answer said so
   */
  record ServerRateLimit(
      String server, String state, double requestsPerSecond, long sequence, String source)
      implements GatewayEvent {}

  /** An answer named a limit that can't be read. It is reported once for each server process. */
  record ServerRateLimitUnreadable(String server, String value) implements GatewayEvent {}

  /**
   * A process of a backend server said in an answer that it leaves.
   *
   * @param server the id of the server, and when its process started in milliseconds since 1970
   * @param source the instance that got the answer
   */
  record ServerLeaveAnnounced(String server, String source) implements GatewayEvent {}

  /**
   * A process of a backend server rejected a request of this instance and asked for a pause.
   *
   * @param status the status of the rejection
   */
  record ServerPause(String server, int status, Duration pause) implements GatewayEvent {}

  /**
   * An answer said something about its server that can't be read. It is reported once for each
   * server process and statement.
   */
  record ServerStatementUnreadable(String server, String statement, String value)
      implements GatewayEvent {}

  /**
   * The use of a customer's prepaid total, as this instance knows it.
   *
   * @param total the total according to the current plan
   * @param taken the tokens spent, lost and held by all instances
   * @param lostByAll the part of {@code taken} that was held by processes when they ended
   * @param spentHere the tokens spent by this process and earlier ones of this instance
   * @param lostHere the tokens that earlier processes of this instance held when they ended
   * @param heldHere the tokens that this instance may still use
   * @param idleHere the part of {@code heldHere} that is not reserved for a request
   * @param ratePerSecond the rate at which this instance's requests reserve tokens
   */
  record AccountLevel(
      String customer,
      long total,
      long taken,
      long lostByAll,
      long spentHere,
      long lostHere,
      long heldHere,
      long idleHere,
      long ratePerSecond)
      implements GatewayEvent {}

  /**
   * This process has taken over the account from the last note of an earlier process of this
   * instance.
   *
   * @param spent the tokens spent according to that note
   * @param setAside the tokens reserved for requests that were running; lost to the customer
   * @param freeAtOnce the idle tokens that the note released for immediate use; lost
   * @param released the idle tokens that may have been used since, at their release rate; lost
   * @param takenBack the idle tokens that can't have been used
   * @param proof the evidence for how long the earlier process can have run after its note
   * @param since the upper bound of that time; zero without a proof
   */
  record AccountTakenOver(
      String customer,
      long spent,
      long setAside,
      long freeAtOnce,
      long released,
      long takenBack,
      String proof,
      Duration since)
      implements GatewayEvent {}

  /** Other instances gave tokens of a customer to this instance for requests that waited. */
  record TokensDrawn(String customer, long tokens, Duration took) implements GatewayEvent {}

  /**
   * The traffic of this instance with the shared log and with other instances since the previous
   * event of this kind.
   *
   * @param notesWritten the notes written in {@code appends} calls
   * @param slowestAppend the longest time of an append until its answer, or until it was given up
   * @param notesHeard the notes in {@code reads} answers, from this and from other instances
   * @param messagesSent the messages sent to other instances, counted once for each receiver
   * @param longestStall the longest delay of a tick of the event loop
   */
  record FleetTraffic(
      long appends,
      long notesWritten,
      Duration meanAppend,
      Duration slowestAppend,
      long reads,
      long notesHeard,
      long messagesSent,
      long octetsSent,
      long messagesHeard,
      long octetsHeard,
      Duration longestStall)
      implements GatewayEvent {}

  /**
   * A connection that broke under a request was found to have broken because its server crashed.
   *
   * @param fingerprint a hash of the request's caller, path and body
   * @param proof what showed that the server crashed, in capitals with underscores
   * @param crashes the crashes under this fingerprint that all instances have counted so far, as
   *     this instance knows
   * @param after the time from the loss of the connection until the proof
   */
  record CrashCounted(String fingerprint, String server, String proof, int crashes, Duration after)
      implements GatewayEvent {}

  /**
   * A request crashed so many backend servers that no instance sends it any more.
   *
   * @param fingerprint a hash of the request's caller, path and body
   * @param server the server that the request crashed last
   */
  record RequestQuarantined(String fingerprint, String server) implements GatewayEvent {}

  /**
   * A server crashed while requests with these prompt parts were about to be answered there.
   *
   * @param proof what showed that the server crashed, in capitals with underscores
   * @param promptParts the names of the parts that this instance knows of, separated by commas
   * @param after the time from the loss of the first connection until the proof
   */
  record PartsImplicated(String server, String proof, String promptParts, Duration after)
      implements GatewayEvent {}

  /**
   * Requests with a prompt part are refused from now on, because servers crashed under it.
   *
   * @param crashes the number of moments at which servers crashed under it
   * @param servers the servers' processes that ended, separated by commas
   */
  record PartQuarantined(String promptPart, int crashes, String servers) implements GatewayEvent {}

  /**
   * A quarantined prompt part was answered, so requests with it are sent again.
   *
   * @param crashes the number of crashes that it has not caused
   */
  record PartCleared(String promptPart, int crashes) implements GatewayEvent {}

  /**
   * A request was offered to another instance, as this one is late.
   *
   * @param sibling the address of the other instance
   * @param late by how much this instance's event loop is late
   */
  record HandedOver(String request, String sibling, Duration late) implements GatewayEvent {}

  /** Another instance did not take a request; it is offered to one more, or served here. */
  record HandoverRefused(String request, String sibling, String detail) implements GatewayEvent {}

  /**
   * The answer to a request that another instance may have taken was lost.
   *
   * @param begun whether a part of it has reached the caller, whose answer is aborted unless the
   *     request is sent again
   * @param again whether this instance sends the request to a server again
   */
  record HandoverLost(String request, String sibling, boolean begun, boolean again, String detail)
      implements GatewayEvent {}

  /**
   * This instance has taken a request of another one.
   *
   * @param sender the name of the other instance
   * @param waited the time that the request has spent there
   */
  record HandoverTaken(String request, String sender, Duration waited) implements GatewayEvent {}

  /**
   * A request of another instance is invalid.
   *
   * @param sender the name of the other instance; empty if it can't be read
   * @param result what the other instance is told
   */
  record HandoverRejected(String sender, String result, String detail) implements GatewayEvent {}

  /** Lines were dropped because they did not fit into the log's buffer. */
  record LinesDropped(long count) implements GatewayEvent {}
}
