package org.teaseldeal.bench.slope;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.teaseldeal.api.CustomerId;
import org.teaseldeal.api.RequestId;
import org.teaseldeal.api.ServiceId;
import org.teaseldeal.api.TeamId;
import org.teaseldeal.ledger.AccountId;
import org.teaseldeal.ledger.ChargeId;
import org.teaseldeal.ledger.ClaimKey;
import org.teaseldeal.ledger.Draw;
import org.teaseldeal.ledger.entry.Entry;
import org.teaseldeal.ledger.snapshot.SnapshotChunks;

/** The kinds of ledger entry that instances append to the log under load. */
enum EntryKind {
  CHARGE {
    @Override
    Entry entry(int number) {
      return charge(number, FoldedLog.WRITER + "-" + number, false);
    }
  },
  KEYED_CHARGE {
    @Override
    Entry entry(int number) {
      return charge(number, "k-" + digest(number), true);
    }
  },
  REQUEST_LEASE {
    @Override
    Entry entry(int number) {
      return new Entry.RequestLease(SERVICE, 20_000, 1_000);
    }
  },
  RETURN_LEASE {
    @Override
    Entry entry(int number) {
      return new Entry.ReturnLease(SERVICE, FoldedLog.WRITER, 1_000);
    }
  },
  CLAIM {
    @Override
    Entry entry(int number) {
      return new Entry.Claim(new ClaimKey(digest(number)), SERVICE, CUSTOMER, digest(-number));
    }
  },
  PUBLISH_SETTINGS {
    @Override
    Entry entry(int number) {
      return SampleEntries.subtree(number, 0);
    }
  };

  static final TeamId TEAM = new TeamId("team-00042");
  private static final ServiceId SERVICE = ServiceId.of("team-00042", "service-1");
  private static final CustomerId CUSTOMER = new CustomerId(TEAM, "customer-00042");
  private static final long AMPLE_TOKENS = Long.MAX_VALUE / 8;

  abstract Entry entry(int number);

  /** Returns the entries that the log must contain before entries of these kinds are accepted. */
  static List<Entry> prerequisites() {
    return List.of(
        new Entry.CreateBudget(AccountId.of(TEAM), AMPLE_TOKENS, "ops", "create-" + TEAM),
        new Entry.RequestLease(SERVICE, AMPLE_TOKENS / 2, 1));
  }

  private static Entry charge(int number, String request, boolean keyed) {
    return new Entry.Charge(
        new ChargeId(FoldedLog.WRITER, number + 1L),
        new RequestId(request),
        keyed,
        SERVICE,
        CUSTOMER,
        List.of(new Draw(FoldedLog.WRITER, 333)));
  }

  private static String digest(int number) {
    return SnapshotChunks.digest(Integer.toString(number).getBytes(StandardCharsets.US_ASCII));
  }
}
