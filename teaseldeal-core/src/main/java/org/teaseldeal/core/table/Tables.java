package org.teaseldeal.core.table;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import org.teaseldeal.api.AttemptId;
import org.teaseldeal.api.BackendServerId;
import org.teaseldeal.api.IncarnationId;
import org.teaseldeal.api.ServiceId;
import org.teaseldeal.core.CallId;
import org.teaseldeal.core.ListedInstance;
import org.teaseldeal.ledger.ChargeId;

/**
 * All tables of an instance.
 *
 * <p>Every collection that is iterated is sorted or in order of arrival, so that a run can be
 * reproduced exactly. Hash maps are used for look-ups only.
 */
public final class Tables {
  private static final Comparator<RequestRow> BY_DEADLINE =
      Comparator.<RequestRow, Instant>comparing(r -> r.deadline)
          .thenComparingLong(r -> r.call.number());

  public final Map<CallId, RequestRow> requests = new HashMap<>();

  /** The requests in order of their deadlines. */
  public final TreeSet<RequestRow> requestsByDeadline = new TreeSet<>(BY_DEADLINE);

  /** Attempts whose frames are accepted, by their current id. */
  public final Map<AttemptId, AttemptRow> attempts = new HashMap<>();

  /**
   * The attempts in {@link #attempts} and those that wait to be resumed, by the number of their id.
   */
  public final TreeMap<Long, AttemptRow> runningAttempts = new TreeMap<>();

  /** Abandoned attempts whose usage is not known yet, by the number of their last id. */
  public final TreeMap<Long, AttemptRow> abandonedAttempts = new TreeMap<>();

  public final TreeMap<BackendServerId, ServerRow> servers = new TreeMap<>();

  /** Servers that are known to be leaving, whether listed here or not. They are never removed. */
  public final TreeSet<BackendServerId> leavingServers = new TreeSet<>();

  public final TreeMap<IncarnationId, PeerRow> peers = new TreeMap<>();
  public final TreeMap<String, ListedInstance> listedInstances = new TreeMap<>();
  public final TreeMap<String, PoolRow> pools = new TreeMap<>();
  public final TreeMap<String, OrderPoolRow> orderPools = new TreeMap<>();
  public final TreeMap<ServiceId, BudgetRow> budgets = new TreeMap<>();
  public final TreeMap<Long, TransferRow> transfers = new TreeMap<>();
  public final TreeMap<Long, ChargeRow> charges = new TreeMap<>();

  /** The charges for which the final byte of a caller's answer waits. */
  public final TreeMap<Long, ChargeRow> unconfirmedCharges = new TreeMap<>();

  /** The charges that have not been offered to any peer yet. */
  public final TreeMap<Long, ChargeRow> unofferedCharges = new TreeMap<>();

  /** The charges that have been offered but that no peer has acknowledged to store. */
  public final TreeMap<Long, ChargeRow> unacknowledgedCharges = new TreeMap<>();

  /**
   * Charges of peers that this instance passes on to other peers before it stops. They are numbered
   * like its own.
   */
  public final TreeMap<Long, ChargeRow> reofferedBackups = new TreeMap<>();

  public final TreeMap<String, SuspectRow> suspects = new TreeMap<>();

  /** Charges that this instance stores for peers, in order of arrival. */
  public final Deque<BackupRow> backups = new ArrayDeque<>();

  public final Map<ChargeId, BackupRow> backupsById = new HashMap<>();

  /** Returns whether no work for callers is left, abandoned attempts included. */
  public boolean isIdle() {
    return requests.isEmpty() && runningAttempts.isEmpty() && abandonedAttempts.isEmpty();
  }
}
