package org.teaseldeal.ledger.lease;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.teaseldeal.api.Preconditions;
import org.teaseldeal.api.ServiceId;
import org.teaseldeal.ledger.Draw;

/**
 * Holds the tokens that an instance has of each service: free tokens by source, and reservations
 * taken from them.
 *
 * <p>No count is ever negative, and no more tokens are taken out than were credited. Not
 * thread-safe.
 */
public final class LocalLeases {
  private final TreeMap<ServiceId, TokensBySource> freeByService = new TreeMap<>();
  private final Map<Long, Reservation> reservations = new HashMap<>();
  private final Map<ServiceId, Long> reservedByService = new HashMap<>();
  private long nextNumber = 1;

  /** Adds tokens that were leased to this instance or transferred to it by a peer. */
  public void credit(ServiceId service, List<Draw> draws) {
    if (!draws.isEmpty()) {
      freeByService.computeIfAbsent(service, id -> new TokensBySource()).addAll(draws);
    }
  }

  /** Reserves {@code tokens}; empty if fewer are free. */
  public Optional<Reservation> reserve(ServiceId service, long tokens) {
    Preconditions.requireNotNegative(tokens, "tokens");
    if (free(service) < tokens) {
      return Optional.empty();
    }
    Reservation reservation = new Reservation(nextNumber++, service, take(service, tokens));
    reservations.put(reservation.number(), reservation);
    reservedByService.merge(service, tokens, Long::sum);
    return Optional.of(reservation);
  }

  /**
   * Ends a reservation of which {@code used} tokens were spent, and frees the rest.
   *
   * @return the draws that pay for {@code used}. If more was used than reserved, free tokens cover
   *     the excess as far as they suffice
   * @throws IllegalStateException if the reservation has already ended
   */
  public List<Draw> settle(Reservation reservation, long used) {
    Preconditions.requireNotNegative(used, "used tokens");
    if (!reservation.equals(reservations.remove(reservation.number()))) {
      throw new IllegalStateException(
          "Reservation %d has already ended".formatted(reservation.number()));
    }
    ServiceId service = reservation.service();
    unreserve(service, reservation.tokens());
    TokensBySource remaining = new TokensBySource();
    remaining.addAll(reservation.draws());
    TokensBySource spent = new TokensBySource();
    spent.addAll(remaining.take(used));
    credit(service, remaining.take(Long.MAX_VALUE));
    spent.addAll(take(service, Math.max(0, used - reservation.tokens())));
    return spent.take(Long.MAX_VALUE);
  }

  private void unreserve(ServiceId service, long tokens) {
    long remaining = reserved(service) - tokens;
    if (remaining == 0) {
      reservedByService.remove(service);
    } else {
      reservedByService.put(service, remaining);
    }
  }

  /** Ends a reservation without spending any of its tokens. */
  public void release(Reservation reservation) {
    settle(reservation, 0);
  }

  /**
   * Removes and returns up to {@code max} free tokens, to transfer to a peer or to return to the
   * budget.
   */
  public List<Draw> take(ServiceId service, long max) {
    Preconditions.requireNotNegative(max, "max");
    TokensBySource free = freeByService.get(service);
    if (free == null) {
      return List.of();
    }
    List<Draw> taken = free.take(max);
    if (free.total() == 0) {
      freeByService.remove(service);
    }
    return taken;
  }

  /** Returns the number of tokens that can be reserved or taken. */
  public long free(ServiceId service) {
    TokensBySource free = freeByService.get(service);
    return free == null ? 0 : free.total();
  }

  /** Returns the number of reserved tokens. */
  public long reserved(ServiceId service) {
    return reservedByService.getOrDefault(service, 0L);
  }

  /** Returns the number of free and reserved tokens together. */
  public long held(ServiceId service) {
    return free(service) + reserved(service);
  }

  /** Returns the free tokens, by source. */
  public List<Draw> freeDraws(ServiceId service) {
    TokensBySource free = freeByService.get(service);
    return free == null ? List.of() : free.toDraws();
  }

  /** Returns the services that have free tokens, in ascending order. */
  public List<ServiceId> services() {
    return List.copyOf(freeByService.keySet());
  }
}
