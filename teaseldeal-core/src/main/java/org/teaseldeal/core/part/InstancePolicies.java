package org.teaseldeal.core.part;

import java.util.function.Predicate;
import org.teaseldeal.core.table.SuspectRow;
import org.teaseldeal.decisions.PlacementPolicy;
import org.teaseldeal.decisions.QueueRule;
import org.teaseldeal.ledger.fold.SettingsValidator;

/**
 * The replaceable policies of an instance. Each {@code with} method returns a copy with one policy
 * replaced.
 */
public final class InstancePolicies {
  /**
   * Two failed servers are enough evidence that the request causes the failures. Callers usually
   * repeat a failed request, and without a quarantine it would take down a third server.
   */
  private static final int DOWN_SERVERS_BEFORE_QUARANTINE = 2;

  private SettingsValidator validator = SettingsValidator.STANDARD;
  private PlacementPolicy placementPolicy = PlacementPolicy.TWO_CHOICES;
  private QueueRule queueRule = QueueRule.FAIR;
  private FrameFilter frameFilter = FrameFilter.EXACT;
  private ClaimConfirmation claimConfirmation = ClaimConfirmation.READ_BACK;
  private TransferDeduplication transferDeduplication = TransferDeduplication.CREDIT_ONCE;
  private LeavingServerRule leavingServerRule = LeavingServerRule.KEEP_FOREVER;
  private ReservationRule reservationRule = ReservationRule.WORST_CASE;
  private AbandonedRunRule abandonedRunRule = AbandonedRunRule.KEEP_RESERVED;
  private RerunRule rerunRule = RerunRule.IDEMPOTENT_ONLY;
  private Predicate<SuspectRow> quarantineRule =
      suspect -> suspect.downServers.size() >= DOWN_SERVERS_BEFORE_QUARANTINE;
  private OrderAuthority orderAuthority = OrderAuthority.HOLDER_IN_CONTACT;
  private EngineRecheckRule engineRecheckRule = EngineRecheckRule.ALWAYS;

  private InstancePolicies() {}

  private InstancePolicies(InstancePolicies other) {
    validator = other.validator;
    placementPolicy = other.placementPolicy;
    queueRule = other.queueRule;
    frameFilter = other.frameFilter;
    claimConfirmation = other.claimConfirmation;
    transferDeduplication = other.transferDeduplication;
    leavingServerRule = other.leavingServerRule;
    reservationRule = other.reservationRule;
    abandonedRunRule = other.abandonedRunRule;
    rerunRule = other.rerunRule;
    quarantineRule = other.quarantineRule;
    orderAuthority = other.orderAuthority;
    engineRecheckRule = other.engineRecheckRule;
  }

  /** Returns the policies of a production instance. */
  public static InstancePolicies standard() {
    return new InstancePolicies();
  }

  /** Returns the parser and validator of settings that are read from the log. */
  public SettingsValidator validator() {
    return validator;
  }

  /** Returns a copy with another parser and validator of settings. */
  public InstancePolicies withValidator(SettingsValidator other) {
    InstancePolicies copy = new InstancePolicies(this);
    copy.validator = other;
    return copy;
  }

  /** Returns the policy that chooses the backend server of a request. */
  public PlacementPolicy placementPolicy() {
    return placementPolicy;
  }

  /** Returns a copy with another placement policy. */
  public InstancePolicies withPlacementPolicy(PlacementPolicy other) {
    InstancePolicies copy = new InstancePolicies(this);
    copy.placementPolicy = other;
    return copy;
  }

  /** Returns a copy with one of the queue rules that an instance's settings file can name. */
  public InstancePolicies withQueueRule(QueueChoice choice) {
    return withQueueRule(choice.rule());
  }

  /**
   * Returns a copy with one of the placement policies that an instance's settings file can name.
   */
  public InstancePolicies withPlacementPolicy(PlacementChoice choice) {
    return withPlacementPolicy(choice.policy());
  }

  /** Returns the rule that orders and bounds the requests that wait for a backend server. */
  public QueueRule queueRule() {
    return queueRule;
  }

  /** Returns a copy with another queue rule. */
  public InstancePolicies withQueueRule(QueueRule other) {
    InstancePolicies copy = new InstancePolicies(this);
    copy.queueRule = other;
    return copy;
  }

  /** Returns the filter that decides which frames belong to a caller's answer. */
  public FrameFilter frameFilter() {
    return frameFilter;
  }

  /** Returns a copy with another frame filter. */
  public InstancePolicies withFrameFilter(FrameFilter other) {
    InstancePolicies copy = new InstancePolicies(this);
    copy.frameFilter = other;
    return copy;
  }

  /** Returns how this instance confirms that it won a claim. */
  public ClaimConfirmation claimConfirmation() {
    return claimConfirmation;
  }

  /** Returns a copy with another confirmation of claims. */
  public InstancePolicies withClaimConfirmation(ClaimConfirmation other) {
    InstancePolicies copy = new InstancePolicies(this);
    copy.claimConfirmation = other;
    return copy;
  }

  /** Returns the rule that prevents a transfer from being credited twice. */
  public TransferDeduplication transferDeduplication() {
    return transferDeduplication;
  }

  /** Returns a copy with another deduplication of transfers. */
  public InstancePolicies withTransferDeduplication(TransferDeduplication other) {
    InstancePolicies copy = new InstancePolicies(this);
    copy.transferDeduplication = other;
    return copy;
  }

  /** Returns the rule that decides which backend servers still count as leaving. */
  public LeavingServerRule leavingServerRule() {
    return leavingServerRule;
  }

  /** Returns a copy with another rule for leaving servers. */
  public InstancePolicies withLeavingServerRule(LeavingServerRule other) {
    InstancePolicies copy = new InstancePolicies(this);
    copy.leavingServerRule = other;
    return copy;
  }

  /** Returns the rule that decides how many tokens are reserved for a request. */
  public ReservationRule reservationRule() {
    return reservationRule;
  }

  /** Returns a copy with another reservation rule. */
  public InstancePolicies withReservationRule(ReservationRule other) {
    InstancePolicies copy = new InstancePolicies(this);
    copy.reservationRule = other;
    return copy;
  }

  /** Returns the rule that decides whether the tokens of an abandoned run stay reserved. */
  public AbandonedRunRule abandonedRunRule() {
    return abandonedRunRule;
  }

  /** Returns a copy with another rule for abandoned runs. */
  public InstancePolicies withAbandonedRunRule(AbandonedRunRule other) {
    InstancePolicies copy = new InstancePolicies(this);
    copy.abandonedRunRule = other;
    return copy;
  }

  /** Returns the rule that decides which requests may run a second time. */
  public RerunRule rerunRule() {
    return rerunRule;
  }

  /** Returns a copy with another rerun rule. */
  public InstancePolicies withRerunRule(RerunRule other) {
    InstancePolicies copy = new InstancePolicies(this);
    copy.rerunRule = other;
    return copy;
  }

  /**
   * Returns the rule that decides whether a request was in flight on too many failed servers to be
   * run again.
   */
  public Predicate<SuspectRow> quarantineRule() {
    return quarantineRule;
  }

  /** Returns a copy with another quarantine rule. */
  public InstancePolicies withQuarantineRule(Predicate<SuspectRow> other) {
    InstancePolicies copy = new InstancePolicies(this);
    copy.quarantineRule = other;
    return copy;
  }

  /** Returns the rule that decides whether this instance may send orders to engines now. */
  public OrderAuthority orderAuthority() {
    return orderAuthority;
  }

  /** Returns a copy with another rule for the authority to send orders. */
  public InstancePolicies withOrderAuthority(OrderAuthority other) {
    InstancePolicies copy = new InstancePolicies(this);
    copy.orderAuthority = other;
    return copy;
  }

  /** Returns the rule that decides whether the state of an engine is queried again. */
  public EngineRecheckRule engineRecheckRule() {
    return engineRecheckRule;
  }

  /** Returns a copy with another rule for querying engines again. */
  public InstancePolicies withEngineRecheckRule(EngineRecheckRule other) {
    InstancePolicies copy = new InstancePolicies(this);
    copy.engineRecheckRule = other;
    return copy;
  }
}
