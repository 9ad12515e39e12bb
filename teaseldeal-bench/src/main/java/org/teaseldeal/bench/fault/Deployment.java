package org.teaseldeal.bench.fault;

import java.time.Duration;
import org.teaseldeal.settings.LeasePolicySettings;

/** The deployment whose lease policy a run uses. */
public enum Deployment {
  /**
   * The municipal deployment. It uses small leases, because it has to avoid overspending above all
   * and the tokens that a dead instance strands are public money.
   */
  AARHUS(new LeasePolicySettings(Duration.ofSeconds(10), 0.1, 300, Duration.ofSeconds(15))),
  /**
   * The association's deployment. Its leases outlast an outage of the log, because it has to avoid
   * false refusals above all.
   */
  ASSOCIATION(new LeasePolicySettings(Duration.ofSeconds(40), 0.25, 600, Duration.ofSeconds(60)));

  private final LeasePolicySettings lease;

  Deployment(LeasePolicySettings lease) {
    this.lease = lease;
  }

  /** Returns the policy by which budgets are leased to instances. */
  public LeasePolicySettings lease() {
    return lease;
  }
}
