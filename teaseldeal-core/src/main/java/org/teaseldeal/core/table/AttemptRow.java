package org.teaseldeal.core.table;

import java.time.Instant;
import org.jspecify.annotations.Nullable;
import org.teaseldeal.api.AttemptId;
import org.teaseldeal.ledger.lease.Reservation;

/**
 * One run of a request at one backend server.
 *
 * <p>Resuming the run keeps the row and gives it a new attempt id, so that frames of the previous
 * connection can be recognised and dropped.
 */
public final class AttemptRow {
  public final RequestRow request;
  public final ServerRow server;
  public final @Nullable Reservation reservation;

  public AttemptId id;
  public Instant startedAt;
  public Instant lastProgressAt;
  public long nextPosition;
  public boolean mayHaveRun;

  /** Number of resumes since the last frame was received. */
  public int resumesSinceProgress;

  /** Time at which the next resume is due, or null while a connection is open. */
  public @Nullable Instant nextResumeAt;

  /**
   * Time at which the run was abandoned, after which the engine is queried for its usage; null
   * while the run is active.
   */
  public @Nullable Instant abandonedAt;

  public Instant usageQueriedAt = Instant.MIN;

  /**
   * Whether the caller is charged for the usage of the abandoned run because it closed its
   * connection itself.
   */
  public boolean chargeCaller;

  public AttemptRow(
      RequestRow request,
      ServerRow server,
      @Nullable Reservation reservation,
      AttemptId id,
      Instant now) {
    this.request = request;
    this.server = server;
    this.reservation = reservation;
    this.id = id;
    this.startedAt = now;
    this.lastProgressAt = now;
  }
}
