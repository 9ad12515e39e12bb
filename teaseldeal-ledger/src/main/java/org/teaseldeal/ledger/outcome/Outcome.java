package org.teaseldeal.ledger.outcome;

import java.util.List;
import java.util.Optional;
import org.teaseldeal.api.IncarnationId;
import org.teaseldeal.api.RequestId;
import org.teaseldeal.api.ServiceId;
import org.teaseldeal.ledger.AccountId;
import org.teaseldeal.ledger.ChargeId;
import org.teaseldeal.ledger.ClaimKey;
import org.teaseldeal.ledger.entry.Entry;
import org.teaseldeal.settings.SettingsProblem;
import org.teaseldeal.settings.SubtreeId;

/** The result of folding one entry. It is the same for every reader of the log. */
public sealed interface Outcome {
  /** An instance joined. */
  record Joined(Entry.Join join) implements Outcome {}

  /**
   * An incarnation left or was retired, and {@code writtenOff} tokens under its leases were written
   * off.
   */
  record Retired(IncarnationId incarnation, long writtenOff) implements Outcome {}

  /** A subtree was put in force at {@code revision}, which is the offset of its record plus one. */
  record SettingsAccepted(SubtreeId subtree, long revision, String author) implements Outcome {}

  /**
   * A publication was refused because it was based on another revision than the current one. {@code
   * winner} is the author of the current revision, or "nobody" if the subtree does not exist.
   */
  record SettingsOutdated(SubtreeId subtree, long currentRevision, String winner)
      implements Outcome {}

  /** A publication was refused because its text has problems. */
  record SettingsInvalid(SubtreeId subtree, List<SettingsProblem> problems) implements Outcome {}

  /**
   * A budget was created or topped up, and {@code granted} tokens have been put into it in total.
   */
  record BudgetGranted(AccountId account, long granted, String operation) implements Outcome {}

  /**
   * A budget operation changed nothing, because it had been applied before, the account exists
   * already, or the account does not exist.
   */
  record BudgetUnchanged(AccountId account, String operation, String reason) implements Outcome {
    /** The reason of an operation that had been applied before. */
    public static final String ALREADY_APPLIED = "the operation was applied before";

    /**
     * Returns whether the operation had been applied before, so that its author has the result
     * asked for.
     */
    public boolean alreadyApplied() {
      return reason.equals(ALREADY_APPLIED);
    }
  }

  /** A lease was granted. */
  record LeaseGranted(ServiceId service, long tokens) implements Outcome {}

  /**
   * A lease was refused. Of the service's and the team's budget, {@code account} has the fewer
   * tokens available, {@code remaining}; {@code leasedElsewhere} tokens of it are leased to other
   * instances.
   */
  record LeaseRefused(ServiceId service, AccountId account, long remaining, long leasedElsewhere)
      implements Outcome {}

  /** Tokens were returned to the budget. */
  record LeaseReturned(ServiceId service, IncarnationId source, long tokens) implements Outcome {}

  /** A request was charged. */
  record Charged(ChargeId id, RequestId request, ServiceId service, long tokens)
      implements Outcome {}

  /**
   * The charge was counted before, as {@code first}: with the same id, or for the same keyed
   * request.
   */
  record ChargeRepeated(ChargeId id, RequestId request, ChargeId first) implements Outcome {}

  /** Tokens were counted as spent without charging a request. */
  record WrittenOff(ChargeId id, ServiceId service, long tokens) implements Outcome {}

  /** The writer got the claim. */
  record ClaimWon(ClaimKey key) implements Outcome {}

  /**
   * Another claim of this key came first. {@code answer} is present once the answer of its request
   * is stored.
   */
  record ClaimLost(
      ClaimKey key, IncarnationId holder, boolean sameBody, Optional<Entry.ClaimOutcome> answer)
      implements Outcome {}

  /** The key is older than claims are kept, so it is not known whether its request was run. */
  record ClaimExpired(ClaimKey key) implements Outcome {}

  /** The answer of a claimed request was stored. */
  record ClaimAnswered(ClaimKey key) implements Outcome {}

  /** The claim was released, so the key can be claimed again. */
  record ClaimReleased(ClaimKey key) implements Outcome {}

  /**
   * The writer may order the pool's engines. {@code term}, the offset of the record plus one, is
   * its fencing token.
   */
  record OrdersTaken(String pool, long term) implements Outcome {}

  /**
   * The order term was refused because another incarnation has taken a term since {@code
   * previousTerm}.
   */
  record OrdersRefused(String pool, long currentTerm, IncarnationId holder) implements Outcome {}

  /** All chunks of a snapshot are on the log. */
  record SnapshotComplete(long coveredOffset) implements Outcome {}

  /** The entry broke a rule of the ledger and changed nothing. */
  record Rejected(Entry entry, String reason) implements Outcome {}
}
