package org.teaseldeal.ledger;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.teaseldeal.api.CustomerId;
import org.teaseldeal.api.DataCentre;
import org.teaseldeal.api.IncarnationId;
import org.teaseldeal.api.InstanceId;
import org.teaseldeal.api.RequestId;
import org.teaseldeal.api.ServiceId;
import org.teaseldeal.api.TeamId;
import org.teaseldeal.ledger.entry.Entry;

/** Identifiers and factory methods for entries that many tests use. */
public final class LedgerFixtures {
  public static final TeamId TEAM = new TeamId("wool");
  public static final ServiceId DRAFTS = new ServiceId(TEAM, "drafts");
  public static final ServiceId BIDS = new ServiceId(TEAM, "bids");
  public static final CustomerId CUSTOMER = new CustomerId(TEAM, "mill");
  public static final AccountId TEAM_BUDGET = AccountId.of(TEAM);
  public static final AccountId DRAFTS_BUDGET = AccountId.of(DRAFTS);
  public static final IncarnationId A = new IncarnationId("a-1");
  public static final IncarnationId B = new IncarnationId("b-1");
  public static final IncarnationId OPERATOR = new IncarnationId("operator-1");

  private LedgerFixtures() {}

  public static Entry.Join join(IncarnationId incarnation) {
    return new Entry.Join(
        new InstanceId(incarnation.value()), new DataCentre("hall-a"), "127.0.0.1:1");
  }

  public static Entry.CreateBudget budget(AccountId account, long tokens) {
    return new Entry.CreateBudget(account, tokens, "ops", "create-" + account);
  }

  public static Entry.TopUp topUp(AccountId account, long tokens, String operation) {
    return new Entry.TopUp(account, tokens, "ops", operation);
  }

  public static Entry.RequestLease lease(ServiceId service, long wanted, long minimum) {
    return new Entry.RequestLease(service, wanted, minimum);
  }

  public static Entry.Charge charge(
      IncarnationId origin, long number, ServiceId service, IncarnationId source, long tokens) {
    RequestId request = new RequestId(origin + "-" + number);
    return charge(origin, number, request, false, service, List.of(new Draw(source, tokens)));
  }

  public static Entry.Charge charge(
      IncarnationId origin,
      long number,
      RequestId request,
      boolean keyed,
      ServiceId service,
      List<Draw> draws) {
    return new Entry.Charge(new ChargeId(origin, number), request, keyed, service, CUSTOMER, draws);
  }

  public static Entry.WriteOff writeOff(
      IncarnationId origin, long number, ServiceId service, IncarnationId source, long tokens) {
    return new Entry.WriteOff(
        new ChargeId(origin, number), service, List.of(new Draw(source, tokens)), "abandoned");
  }

  public static Entry.Claim claim(String key, String body) {
    return new Entry.Claim(new ClaimKey(key), BIDS, CUSTOMER, body);
  }

  public static Entry.ClaimOutcome answer(String key, String body) {
    return new Entry.ClaimOutcome(
        new ClaimKey(key), 200, "text/plain", body.getBytes(StandardCharsets.UTF_8), true);
  }
}
