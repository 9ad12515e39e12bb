package org.teaseldeal.gateway.server;

import java.time.Duration;
import java.time.Instant;
import java.util.function.Supplier;
import org.teaseldeal.api.BackendServerId;

/**
 * One incarnation of a backend server as listed, with the requests that this instance has running
 * there.
 *
 * <p>Each incarnation has its own object. Requests that still run at an earlier process are counted
 * in that process's object, so their end doesn't lower the counters of the new one.
 */
public final class BackendServer {
  private final ServerIncarnation incarnation;
  private final String service;
  private final String address;
  private final String dataCentre;
  private final String softwareVersion;
  private final int maxConcurrentRequests;
  private final Runnable onLoadChange;
  private boolean leaving;
  private int running;
  private long promptTokensAhead;
  private long tokensHeld;
  private Instant excludeUntil = Instant.MIN;
  private final RestartEvidence restartEvidence = new RestartEvidence();
  private final WarmUp warmUp;

  /**
   * Creates a server.
   *
   * @param onLoadChange runs after each change of the load that this instance has outstanding there
   * @param listReadAt supplies when all records of the list up to its end had been read last
   */
  BackendServer(
      ServerListing listing, Runnable onLoadChange, Supplier<Instant> listReadAt, Instant now) {
    this.onLoadChange = onLoadChange;
    this.warmUp = new WarmUp(listing.warmUpLeft(), now, listReadAt);
    this.incarnation = listing.incarnation();
    this.service = listing.service();
    this.address = listing.address();
    this.dataCentre = listing.dataCentre();
    this.softwareVersion = listing.softwareVersion();
    this.maxConcurrentRequests = listing.maxConcurrentRequests();
    this.leaving = listing.leaving();
  }

  /** The server's id, which stays the same when the server restarts. */
  public BackendServerId id() {
    return incarnation.id();
  }

  /** The incarnation, which is different after each restart. */
  public ServerIncarnation incarnation() {
    return incarnation;
  }

  /** The name of the service that the server belongs to. */
  public String service() {
    return service;
  }

  /** The address as {@code host:port}, with an IP address as the host. */
  public String address() {
    return address;
  }

  /** The data centre in which the server runs. */
  public String dataCentre() {
    return dataCentre;
  }

  /**
   * The version of the server's software. A stream goes on only at a server of the version that
   * began it.
   */
  public String softwareVersion() {
    return softwareVersion;
  }

  /** The number of requests that the server runs at once. */
  public int maxConcurrentRequests() {
    return maxConcurrentRequests;
  }

  /** Whether the server accepts new requests according to the list. */
  public boolean isListedAsReady() {
    return !leaving;
  }

  /** The number of this instance's requests that run there now. */
  public int running() {
    return running;
  }

  /** The prompt tokens of this instance's requests whose answers have not begun. */
  public long promptTokensAhead() {
    return promptTokensAhead;
  }

  /** The tokens of this instance's requests that run there, with their answers to come. */
  public long tokensHeld() {
    return tokensHeld;
  }

  /** Whether the server gets no requests because of a recent failure that would probably recur. */
  public boolean isExcluded(Instant now) {
    return now.isBefore(excludeUntil);
  }

  /** Sends no requests to the server until {@code until}. */
  public void excludeUntil(Instant until) {
    excludeUntil = until;
  }

  /**
   * Marks the server as leaving. This is final, so that an outdated listing can't make the
   * incarnation ready again.
   */
  void markLeaving() {
    leaving = true;
  }

  /**
   * Whether another process may have taken this one's place since its last heartbeat, possibly with
   * another software version under the same id.
   */
  public boolean mayHaveRestarted() {
    return restartEvidence.mayHaveRestarted();
  }

  /** Records that no connection to the server could be opened. */
  public void onConnectFailed(Instant now) {
    restartEvidence.onConnectFailed(now);
  }

  /** Records that a connection on which a request was sent at {@code sentAt} ended early. */
  public void onConnectionLost(Instant sentAt, Instant now) {
    restartEvidence.onConnectionLost(sentAt, now);
  }

  /** Records that something arrived in answer to a request that was sent at {@code sentAt}. */
  public void onReceived(Instant sentAt, Instant now) {
    restartEvidence.onReceived(sentAt, now);
  }

  /**
   * Records a heartbeat of this incarnation that was read from the server list.
   *
   * @param warmUpLeft how much longer the server warms up
   */
  void onHeartbeat(Duration warmUpLeft, Instant now) {
    restartEvidence.onHeartbeat(now);
    warmUp.onHeartbeat(warmUpLeft, now);
  }

  /**
   * Whether the server may be warming up, because it said so or the list has not been read lately.
   * It may then tolerate fewer requests.
   */
  public boolean isWarmingUp(Instant now) {
    return warmUp.isWarmingUp(now);
  }

  /** Assumes that the server warms up until a heartbeat of a later time says that it doesn't. */
  void assumeWarmingUp(Instant now) {
    warmUp.assumeFrom(now);
  }

  /** Counts a request that was sent to the server. */
  public void onRequestSent(long promptTokens) {
    running++;
    promptTokensAhead += promptTokens;
    onLoadChange.run();
  }

  /** Counts a prompt as read, because the answer has begun or the request has ended. */
  public void onPromptRead(long promptTokens) {
    promptTokensAhead -= promptTokens;
    onLoadChange.run();
  }

  /** Counts the tokens of a request and its answer, which the server's memory has to hold. */
  public void holdTokens(long tokens) {
    tokensHeld += tokens;
  }

  /** Counts the tokens of a request that has ended as released. */
  public void releaseTokens(long tokens) {
    tokensHeld -= tokens;
  }

  /** Counts a request as ended. */
  public void onRequestEnded() {
    running--;
    onLoadChange.run();
  }
}
