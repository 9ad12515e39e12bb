package org.teaseldeal.core.system;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.teaseldeal.api.IncarnationId;
import org.teaseldeal.api.ServiceId;
import org.teaseldeal.core.Counter;
import org.teaseldeal.core.part.TransferDeduplication;
import org.teaseldeal.core.table.BudgetRow;
import org.teaseldeal.core.table.PeerRow;
import org.teaseldeal.core.table.TransferRow;
import org.teaseldeal.core.table.UnacknowledgedTransferRow;
import org.teaseldeal.ledger.Draw;
import org.teaseldeal.ledger.lease.LocalLeases;
import org.teaseldeal.wire.gen.peer.DrawAck;
import org.teaseldeal.wire.gen.peer.DrawReply;
import org.teaseldeal.wire.gen.peer.DrawRequest;
import org.teaseldeal.wire.gen.peer.Message;
import org.teaseldeal.wire.gen.peer.Parcel;

/**
 * Moves idle tokens between instances, each transfer at most once.
 *
 * <p>The donor debits the tokens before it replies, and repeats the same reply until it is
 * acknowledged. The receiver credits each transfer number once. If a reply is lost in a network
 * partition, its tokens remain unused, but they are never duplicated.
 */
final class TransferSystem {
  private static final Duration RETRY_INTERVAL = Duration.ofMillis(500);

  private final Context context;
  private final LedgerSystem ledger;
  private final Consumer<ServiceId> onTokens;
  private final PeerLeaseRequester leaseRequester;
  private final TransferDeduplication deduplication;
  private final TreeMap<WaitingKey, WaitingRequest> waitingRequests = new TreeMap<>();

  /** Obtains a lease on behalf of a peer if this instance is responsible for doing so. */
  interface PeerLeaseRequester {
    /**
     * Requests a lease of at least {@code need} tokens and returns whether the request is pending.
     */
    boolean request(ServiceId service, long need);
  }

  private record WaitingKey(IncarnationId receiver, long number) implements Comparable<WaitingKey> {
    private static final Comparator<WaitingKey> ORDER =
        Comparator.comparing(WaitingKey::receiver).thenComparingLong(WaitingKey::number);

    @Override
    public int compareTo(WaitingKey other) {
      return ORDER.compare(this, other);
    }
  }

  /** A peer's request that waits until a lease of this instance is granted. */
  private record WaitingRequest(ServiceId service, DrawRequest request, Instant until) {}

  TransferSystem(
      Context context,
      LedgerSystem ledger,
      Consumer<ServiceId> onTokens,
      PeerLeaseRequester leaseRequester,
      TransferDeduplication deduplication) {
    this.context = context;
    this.ledger = ledger;
    this.onTokens = onTokens;
    this.leaseRequester = leaseRequester;
    this.deduplication = deduplication;
  }

  TransferRow request(PeerRow donor, ServiceId service, long requestedTokens, long minimumTokens) {
    TransferRow row =
        new TransferRow(
            context.nextTransfer(),
            donor.incarnation,
            service,
            requestedTokens,
            minimumTokens,
            context.now());
    context.tables.transfers.put(row.number, row);
    context.count(Counter.DRAWS_ASKED);
    send(row, donor);
    return row;
  }

  private void send(TransferRow row, PeerRow donor) {
    row.sentAt = context.now();
    DrawRequest request =
        new DrawRequest(row.number, row.service.toString(), row.requestedTokens, row.minimumTokens);
    context.send(donor.address, Message.drawRequest(request));
  }

  /** Repeats the unanswered requests, because the other instance may have debited the tokens. */
  void run() {
    Instant now = context.now();
    for (Map.Entry<WaitingKey, WaitingRequest> entry : List.copyOf(waitingRequests.entrySet())) {
      if (!now.isBefore(entry.getValue().until)) {
        answer(entry.getKey());
      }
    }
    context.tables.transfers.values().removeIf(r -> ledger.hasEnded(r.service.team(), r.donor));
    for (TransferRow row : context.tables.transfers.values()) {
      PeerRow donor = context.tables.peers.get(row.donor);
      if (donor != null && !now.isBefore(row.sentAt.plus(RETRY_INTERVAL))) {
        send(row, donor);
      }
    }
  }

  void onRequest(IncarnationId sender, DrawRequest request) {
    PeerRow receiver = context.tables.peers.get(sender);
    if (receiver == null || receiver.address.isEmpty()) {
      return;
    }
    ServiceId service = ServiceId.parse(request.getServiceId());
    long number = request.getTransfer();
    if (waitingRequests.containsKey(new WaitingKey(sender, number))) {
      return;
    }
    UnacknowledgedTransferRow debited = receiver.unacknowledgedTransfers.get(number);
    if (debited != null) {
      context.count(Counter.REPEATED_DRAWS);
    } else if (number <= receiver.highestAcknowledgedTransfer) {
      // This is a late repeat of an acknowledged transfer, or of one that a later transfer has
      // overtaken. Debiting tokens for it would strand them, because the receiver credits each
      // number once.
      context.count(Counter.REPEATED_DRAWS);
      debited = new UnacknowledgedTransferRow(service, List.of());
    } else if (ledger.leases(service).free(service) < request.getMinimum()
        && leaseRequester.request(service, request.getMinimum())) {
      Instant until = context.now().plus(context.limits().transferTimeout());
      waitingRequests.put(
          new WaitingKey(sender, number), new WaitingRequest(service, request, until));
      return;
    } else {
      debited = debitAndRecord(receiver, service, request);
    }
    context.send(receiver.address, Message.drawReply(reply(number, debited)));
  }

  private UnacknowledgedTransferRow debitAndRecord(
      PeerRow receiver, ServiceId service, DrawRequest request) {
    UnacknowledgedTransferRow debited =
        new UnacknowledgedTransferRow(service, debit(receiver, service, request));
    receiver.unacknowledgedTransfers.put(request.getTransfer(), debited);
    return debited;
  }

  /** Answers the peers that wait for tokens of {@code service}. */
  void onLease(ServiceId service) {
    for (Map.Entry<WaitingKey, WaitingRequest> entry : List.copyOf(waitingRequests.entrySet())) {
      if (entry.getValue().service.equals(service)) {
        answer(entry.getKey());
      }
    }
  }

  private void answer(WaitingKey key) {
    WaitingRequest waitingRequest = waitingRequests.remove(key);
    PeerRow receiver = context.tables.peers.get(key.receiver);
    if (waitingRequest != null && receiver != null) {
      UnacknowledgedTransferRow debited =
          debitAndRecord(receiver, waitingRequest.service, waitingRequest.request);
      context.send(receiver.address, Message.drawReply(reply(key.number, debited)));
    }
  }

  private List<Draw> debit(PeerRow receiver, ServiceId service, DrawRequest request) {
    LocalLeases leases = ledger.leases(service);
    long idle = leases.free(service);
    BudgetRow budget = context.tables.budgets.get(service);
    boolean needed = budget != null && !budget.waiting.isEmpty();
    // Two instances that are both short of tokens would pass the same tokens back and forth, so the
    // one with the lower id keeps its own.
    if (needed && context.self().compareTo(receiver.incarnation) < 0) {
      return List.of();
    }
    long share = Math.max(idle / 2, Math.min(idle, request.getMinimum()));
    long debited = Math.min(request.getWanted(), share);
    if (debited <= 0) {
      return List.of();
    }
    context.count(Counter.DRAWS_GIVEN);
    if (budget != null) {
      // Tokens drawn by peers count as demand of this instance, so that the home of a service
      // refills its lease ahead of that demand.
      budget.spentSinceRateUpdate += debited;
      budget.lastUsedAt = context.now();
    }
    return leases.take(service, debited);
  }

  private static DrawReply reply(long number, UnacknowledgedTransferRow debited) {
    List<Parcel> parcels =
        debited.parcels().stream()
            .map(draw -> new Parcel(draw.source().value(), draw.tokens()))
            .toList();
    return new DrawReply(number, debited.service().toString(), parcels);
  }

  void onReply(IncarnationId sender, DrawReply reply) {
    TransferRow row = deduplication.takeUncredited(context.tables.transfers, reply.getTransfer());
    if (row != null) {
      credit(row, reply);
    }
    PeerRow donor = context.tables.peers.get(sender);
    if (donor != null) {
      context.send(donor.address, Message.drawAck(new DrawAck(reply.getTransfer())));
    }
  }

  private void credit(TransferRow row, DrawReply reply) {
    List<Draw> draws =
        reply.getParcels().stream()
            .map(p -> new Draw(new IncarnationId(p.getSource()), p.getTokens()))
            .toList();
    BudgetRow budget = context.tables.budgets.get(row.service);
    if (budget != null && budget.pendingTransfer == row) {
      budget.pendingTransfer = null;
    }
    if (!draws.isEmpty()) {
      context.count(Counter.DRAWS_RECEIVED);
      ledger.leases(row.service).credit(row.service, draws);
    }
    onTokens.accept(row.service);
  }

  void onAck(IncarnationId sender, DrawAck ack) {
    PeerRow receiver = context.tables.peers.get(sender);
    if (receiver != null && receiver.unacknowledgedTransfers.remove(ack.getTransfer()) != null) {
      receiver.highestAcknowledgedTransfer =
          Math.max(receiver.highestAcknowledgedTransfer, ack.getTransfer());
    }
  }
}
