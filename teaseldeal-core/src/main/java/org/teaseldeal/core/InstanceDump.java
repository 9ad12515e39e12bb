package org.teaseldeal.core;

import java.time.Instant;
import java.util.List;
import java.util.SortedMap;

/**
 * A copy of an instance's tables for operators and tools. It contains no bearer token and no
 * prompt.
 */
public record InstanceDump(
    String instance,
    String incarnation,
    String dataCentre,
    Instant asOf,
    boolean ready,
    String readiness,
    boolean draining,
    long settingsRevision,
    List<Stream> streams,
    List<Request> requests,
    List<Attempt> attempts,
    List<Attempt> abandonedAttempts,
    List<Server> servers,
    List<Peer> peers,
    List<Pool> pools,
    List<Budget> budgets,
    List<Transfer> transfers,
    List<Charge> charges,
    List<Charge> backups,
    List<Suspect> suspects,
    List<OrderPool> orderPools,
    SortedMap<String, Long> counters) {
  /** The read state of one stream of the ledger at this instance. */
  public record Stream(int index, long foldedTo, boolean caughtUp, boolean reachable) {}

  /** A caller's request. */
  public record Request(
      String id,
      long call,
      String service,
      String customer,
      String stage,
      long worstCase,
      int attempts,
      boolean mayHaveRun,
      long framesSent,
      Instant arrived,
      Instant deadline) {}

  /** One run of a request at a server. */
  public record Attempt(
      String id,
      String request,
      String server,
      long nextPosition,
      int resumes,
      Instant startedAt,
      Instant lastProgress) {}

  /** A backend server as this instance sees it. */
  public record Server(
      String id,
      String pool,
      String address,
      boolean listed,
      boolean leaving,
      int own,
      int others,
      boolean ejected,
      double slowness,
      int reportedRunning,
      int reportedWaiting) {}

  /** Another instance of the fleet. */
  public record Peer(
      String incarnation,
      String instance,
      String address,
      String dataCentre,
      boolean draining,
      boolean ready,
      Instant heardAt,
      int unacknowledgedTransfers) {}

  /** The admission queue of a pool. */
  public record Pool(String name, int waiting, double meanSeconds) {}

  /** The tokens of a service that are leased by this instance. */
  public record Budget(
      String service,
      long idle,
      long reserved,
      int waiting,
      double tokensPerSecond,
      boolean leaseAsked) {}

  /** A pending request for tokens from a peer. */
  public record Transfer(long number, String giver, String service, long wanted, Instant askedAt) {}

  /** A charge or write-off that has not yet been read back from the log. */
  public record Charge(String origin, long number, Instant since) {}

  /**
   * A pool whose engines receive orders.
   *
   * @param term the fencing token of the current term, or zero if there is none
   * @param engines the engines that this instance compares with the settings; empty if it doesn't
   *     hold the term
   */
  public record OrderPool(
      String pool, long term, String holder, boolean taking, List<OrderEngine> engines) {}

  /**
   * An engine as seen by the instance that sends its orders.
   *
   * @param highestSeen the fencing token that the engine named when it refused an order, or zero if
   *     there was none
   */
  public record OrderEngine(
      String server, boolean agreed, int unanswered, Instant askAt, long highestSeen) {}

  /** A request that was in flight on servers when they failed. */
  public record Suspect(String fingerprint, List<String> endedServers, Instant until) {}
}
