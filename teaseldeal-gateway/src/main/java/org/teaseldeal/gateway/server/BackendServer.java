package org.teaseldeal.gateway.server;

import java.time.Instant;
import org.teaseldeal.api.BackendServerId;

/**
 * One incarnation of a backend server as listed, and this instance's own work at it.
 *
 * <p>A server that starts again under its id is another object. So what still runs at the process
 * before is counted there, and its end can't be taken off the counts of the new one.
 */
public final class BackendServer {
  private final ServerIncarnation incarnation;
  private final String service;
  private final String address;
  private final String dataCentre;
  private final int places;
  private final Runnable onWork;
  private boolean leaving;
  private int running;
  private long promptTokensAhead;
  private Instant avoidUntil = Instant.MIN;

  /** Creates a server; {@code onWork} runs after each change of what this instance has there. */
  BackendServer(ServerListing listing, Runnable onWork) {
    this.onWork = onWork;
    this.incarnation = listing.incarnation();
    this.service = listing.service();
    this.address = listing.address();
    this.dataCentre = listing.dataCentre();
    this.places = listing.places();
    this.leaving = listing.leaving();
  }

  /** Names the server; the next incarnation may have the same id. */
  public BackendServerId id() {
    return incarnation.id();
  }

  /** Names this run of its process. */
  public ServerIncarnation incarnation() {
    return incarnation;
  }

  /** The service it belongs to. */
  public String service() {
    return service;
  }

  /** {@code host:port} by IP number. */
  public String address() {
    return address;
  }

  /** Where it stands. */
  public String dataCentre() {
    return dataCentre;
  }

  /** Requests that it runs at once. */
  public int places() {
    return places;
  }

  /** Whether it may be given requests, as far as the list says. */
  public boolean listedAsReady() {
    return !leaving;
  }

  /** Requests of this instance that it has now. */
  public int running() {
    return running;
  }

  /** Prompt tokens sent by this instance whose answer hasn't begun. */
  public long promptTokensAhead() {
    return promptTokensAhead;
  }

  /** Whether a recent failure says that a request would not reach it. */
  public boolean avoided(Instant now) {
    return now.isBefore(avoidUntil);
  }

  /** Gives it no requests until {@code until}. */
  public void avoidUntil(Instant until) {
    avoidUntil = until;
  }

  /** Leaving is final: a list that lags can't revive an incarnation. */
  void markLeaving() {
    leaving = true;
  }

  /** Counts a request as sent there. */
  public void started(long promptTokens) {
    running++;
    promptTokensAhead += promptTokens;
    onWork.run();
  }

  /** Counts a prompt as read: the answer has begun, or never will. */
  public void promptRead(long promptTokens) {
    promptTokensAhead -= promptTokens;
    onWork.run();
  }

  /** Counts a request as ended. */
  public void ended() {
    running--;
    onWork.run();
  }
}
