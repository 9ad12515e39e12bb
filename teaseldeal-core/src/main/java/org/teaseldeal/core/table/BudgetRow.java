package org.teaseldeal.core.table;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Set;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;
import org.teaseldeal.api.IncarnationId;
import org.teaseldeal.api.ServiceId;

/** This instance's demand for the tokens of one service. */
public final class BudgetRow {
  public final ServiceId service;

  /** Requests that wait for tokens, in order of arrival. */
  public final Deque<RequestRow> waiting = new ArrayDeque<>();

  /**
   * Peers that were asked for tokens since {@link #waiting} was last empty or no source had tokens.
   */
  public final Set<IncarnationId> askedPeers = new TreeSet<>();

  /** The outstanding token transfer from a peer, or null. */
  public @Nullable TransferRow pendingTransfer;

  /** Whether a lease request was appended and has not been read back from the log. */
  public boolean leaseRequested;

  public Instant leaseRequestedAt = Instant.MIN;

  /** Whether the ledger has refused a lease since tokens last arrived. */
  public boolean leaseRefused;

  /**
   * End of the back-off that starts when no source has tokens for the waiting requests. Until then
   * no peer is asked again, unless the ledger can grant what the smallest request lacks.
   */
  public Instant backOffUntil = Instant.MIN;

  /**
   * Tokens spent since {@link #rateUpdatedAt}. {@link #tokensPerSecond} is the smoothed rate before
   * that.
   */
  public long spentSinceRateUpdate;

  public Instant rateUpdatedAt;
  public double tokensPerSecond;
  public Instant lastUsedAt;

  public BudgetRow(ServiceId service, Instant now) {
    this.service = service;
    this.rateUpdatedAt = now;
    this.lastUsedAt = now;
  }
}
