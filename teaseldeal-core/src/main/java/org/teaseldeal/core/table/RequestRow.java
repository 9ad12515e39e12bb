package org.teaseldeal.core.table;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;
import org.teaseldeal.api.BackendServerId;
import org.teaseldeal.api.RequestId;
import org.teaseldeal.api.Usage;
import org.teaseldeal.core.CallId;
import org.teaseldeal.core.Payload;
import org.teaseldeal.ledger.ClaimKey;
import org.teaseldeal.ledger.lease.Reservation;
import org.teaseldeal.settings.CustomerSettings;
import org.teaseldeal.settings.ServiceSettings;

/** One caller's request from its arrival to its final answer. */
public final class RequestRow {
  public final CallId call;
  public final RequestId id;
  public final ServiceSettings service;
  public final CustomerSettings customer;
  public final Payload payload;
  public final String fingerprint;
  public final boolean keyed;
  public final @Nullable ClaimKey claimKey;
  public final long outputCap;
  public final long worstCaseTokens;
  public final Instant arrivedAt;
  public final Instant deadline;
  public final Set<BackendServerId> triedServers = new TreeSet<>();

  public Stage stage = Stage.WAITING_FOR_TOKENS;

  /**
   * Tokens reserved for the next attempt, or null once an attempt in progress has taken them over.
   */
  public @Nullable Reservation reservation;

  public boolean claimHeld;
  public int attempts;

  /**
   * Whether the caller no longer waits while the run continues so that its outcome can be stored.
   */
  public boolean detached;

  /** Whether a backend server may have received the request. */
  public boolean mayHaveRun;

  public long framesSent;

  /**
   * Frames buffered for a caller that wants the answer as one body, or for storing with a claim.
   */
  public final List<byte[]> frames = new ArrayList<>();

  public long frameBytes;

  public @Nullable AttemptRow attempt;
  public @Nullable ChargeRow charge;

  /** Usage of the complete answer while the answer waits for its charge to be safe. */
  public @Nullable Usage usage;

  public int answerStatus;
  public String answerContentType = "";
  public byte[] answerBody = new byte[0];

  public RequestRow(
      CallId call,
      RequestId id,
      ServiceSettings service,
      CustomerSettings customer,
      Payload payload,
      String fingerprint,
      boolean keyed,
      @Nullable ClaimKey claimKey,
      long outputCap,
      long worstCaseTokens,
      Instant arrivedAt,
      Instant deadline) {
    this.call = call;
    this.id = id;
    this.service = service;
    this.customer = customer;
    this.payload = payload;
    this.fingerprint = fingerprint;
    this.keyed = keyed;
    this.claimKey = claimKey;
    this.outputCap = outputCap;
    this.worstCaseTokens = worstCaseTokens;
    this.arrivedAt = arrivedAt;
    this.deadline = deadline;
  }

  /** Returns whether frames are passed on to the caller as they arrive. */
  public boolean streams() {
    return payload instanceof Payload.ModelCall model && model.stream();
  }

  /** Returns whether the request runs at an engine. */
  public boolean isModel() {
    return payload instanceof Payload.ModelCall;
  }
}
