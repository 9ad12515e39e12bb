package org.teaseldeal.ledger.entry;

import java.util.List;
import org.teaseldeal.api.CustomerId;
import org.teaseldeal.api.DataCentre;
import org.teaseldeal.api.IncarnationId;
import org.teaseldeal.api.InstanceId;
import org.teaseldeal.api.RequestId;
import org.teaseldeal.api.ServiceId;
import org.teaseldeal.ledger.AccountId;
import org.teaseldeal.ledger.ChargeId;
import org.teaseldeal.ledger.ClaimKey;
import org.teaseldeal.ledger.Draw;
import org.teaseldeal.settings.SubtreeId;

/** One entry of a log record. A record carries one or more entries of its writer. */
public sealed interface Entry {
  /** States that the writer is an instance which starts to serve. */
  record Join(InstanceId instance, DataCentre dataCentre, String peerAddress) implements Entry {}

  /** States that the writer has returned the tokens that it held and will write no more records. */
  record Leave() implements Entry {}

  /**
   * Replaces a settings subtree if its revision still is {@code baseRevision}; zero stands for a
   * subtree that does not exist yet.
   */
  record PublishSettings(SubtreeId subtree, long baseRevision, String author, String toml)
      implements Entry {}

  /** Creates a budget. A repeated entry with the same operation id counts once. */
  record CreateBudget(AccountId account, long tokens, String author, String operation)
      implements Entry {}

  /** Adds tokens to a budget. A repeated entry with the same operation id counts once. */
  record TopUp(AccountId account, long tokens, String author, String operation) implements Entry {}

  /**
   * Requests a lease of {@code wanted} tokens. If fewer are available, all of them are granted,
   * provided that they are at least {@code minimum}.
   */
  record RequestLease(ServiceId service, long wanted, long minimum) implements Entry {}

  /** Returns unspent tokens of the lease granted to {@code source} to the budget. */
  record ReturnLease(ServiceId service, IncarnationId source, long tokens) implements Entry {}

  /**
   * Charges a request. {@code keyed} states that the request id is derived from a caller's
   * idempotency key.
   */
  record Charge(
      ChargeId id,
      RequestId request,
      boolean keyed,
      ServiceId service,
      CustomerId customer,
      List<Draw> draws)
      implements Entry {
    public Charge {
      draws = List.copyOf(draws);
    }

    /** Returns the number of tokens charged. */
    public long tokens() {
      return draws.stream().mapToLong(Draw::tokens).sum();
    }
  }

  /**
   * Counts tokens as spent that no request is charged for, such as those of an abandoned attempt.
   */
  record WriteOff(ChargeId id, ServiceId service, List<Draw> draws, String reason)
      implements Entry {
    public WriteOff {
      draws = List.copyOf(draws);
    }
  }

  /** Claims the right to run a non-idempotent request. The first claim in offset order gets it. */
  record Claim(ClaimKey key, ServiceId service, CustomerId customer, String bodyDigest)
      implements Entry {}

  /** Stores the answer of a claimed request. The body is kept only if it is small. */
  record ClaimOutcome(ClaimKey key, int status, String contentType, byte[] body, boolean bodyKept)
      implements Entry {}

  /** Releases a claim of the writer because no backend server was given the request. */
  record ReleaseClaim(ClaimKey key) implements Entry {}

  /**
   * Ends an incarnation: its later records are ignored, and the tokens left under its leases are
   * written off.
   */
  record Retire(IncarnationId incarnation, String author) implements Entry {}

  /**
   * Takes over the right to order a pool's engines, if the pool's latest order term is still {@code
   * previousTerm}; zero stands for a pool without a term.
   */
  record TakeOrders(String pool, long previousTerm) implements Entry {}

  /** One part of a snapshot of the state after {@code coveredOffset}. */
  record SnapshotChunk(long coveredOffset, int index, int count, String digest, byte[] bytes)
      implements Entry {}
}
