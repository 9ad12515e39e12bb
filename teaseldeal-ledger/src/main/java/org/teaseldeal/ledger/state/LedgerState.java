package org.teaseldeal.ledger.state;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.teaseldeal.api.IncarnationId;
import org.teaseldeal.api.ServiceId;
import org.teaseldeal.api.TeamId;
import org.teaseldeal.ledger.AccountId;
import org.teaseldeal.ledger.ChargeId;
import org.teaseldeal.ledger.ClaimKey;
import org.teaseldeal.settings.FleetSettings;
import org.teaseldeal.settings.SubtreeId;
import org.teaseldeal.settings.TeamSettings;

/**
 * The state of the ledger after {@link #foldedTo()}. It is the same for all readers of the same
 * records.
 *
 * <p>The state changes as records are folded, and a restore replaces the object. Callers must
 * therefore not keep it, but get it anew. Not thread-safe.
 */
public interface LedgerState {
  /** Returns the last folded offset, -1 if there is none. */
  long foldedTo();

  /** Returns the latest append time of all folded records, or the epoch if there are none. */
  Instant logTime();

  /** Returns the budget {@code account} if it has been created. */
  Optional<AccountView> account(AccountId account);

  /** Returns all budgets, in the order of their creation. */
  Stream<AccountView> accounts();

  /** Returns the number of tokens that can currently be leased for {@code service}. */
  long spendable(ServiceId service);

  /** Returns the tokens left under the leases of {@code service}, by source. */
  List<LeaseView> leases(ServiceId service);

  /**
   * Returns the tokens left under the leases granted to {@code source}, by service. It scans all
   * leases.
   */
  List<LeaseView> leases(IncarnationId source);

  /** Returns the tokens left under the lease of {@code service} granted to {@code source}. */
  long leased(ServiceId service, IncarnationId source);

  /** Returns whether a charge or write-off with this id has been counted. */
  boolean charged(ChargeId id);

  /** Returns the claim of {@code key} if its window has not ended. */
  Optional<ClaimView> claim(ClaimKey key);

  /**
   * Returns whether the claim window of {@code key} has ended while the key is still remembered.
   */
  boolean claimExpired(ClaimKey key);

  /** Returns the settings subtree {@code subtree} if it exists. */
  Optional<SubtreeView> subtree(SubtreeId subtree);

  /** Returns all settings subtrees, ordered by name. */
  List<SubtreeView> subtrees();

  /** Returns the highest revision of any subtree, zero if there is no subtree. */
  long settingsRevision();

  /** Returns the fleet's settings, which are parsed once per revision. */
  Optional<FleetSettings> fleet();

  /** Returns the settings of {@code team}, which are parsed once per revision. */
  Optional<TeamSettings> team(TeamId team);

  /** Returns the instances that have joined and not ended, in the order of their first record. */
  List<InstanceView> instances();

  /** Returns whether {@code incarnation} left or was retired. */
  boolean ended(IncarnationId incarnation);

  /** Returns the last sequence number applied from {@code writer}, zero if there is none. */
  long lastSequence(IncarnationId writer);

  /**
   * Returns the current order term of {@code pool}, which names the incarnation that may order its
   * engines.
   */
  Optional<OrderTerm> orders(String pool);

  /** Returns the current order terms of all pools, ordered by pool. */
  List<OrderTerm> orders();

  /** Returns which offsets snapshots on the log cover. */
  SnapshotView snapshot();

  /**
   * Recomputes every budget from its leases and describes the first that does not match. It scans
   * the whole state and is meant for tests, dumps and operators.
   */
  Optional<String> findImbalance();
}
