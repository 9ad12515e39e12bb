package org.teaseldeal.ledger.fold;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Optional;
import org.teaseldeal.api.RequestId;
import org.teaseldeal.ledger.ChargeId;

/**
 * Maps requests with a caller's idempotency key to the charge that they were billed under, by a
 * fingerprint of the request id.
 */
final class KeyedCharges {
  private final WriterTable writers;
  private final RecentKeys charges;

  KeyedCharges(WriterTable writers) {
    this(writers, new RecentKeys());
  }

  private KeyedCharges(WriterTable writers, RecentKeys charges) {
    this.writers = writers;
    this.charges = charges;
  }

  Optional<ChargeId> find(RequestId request) {
    int position = charges.find(fingerprint(request));
    if (position == RecentKeys.NONE) {
      return Optional.empty();
    }
    Writer origin = writers.byNumber(charges.origin(position));
    return origin == null
        ? Optional.empty()
        : Optional.of(new ChargeId(origin.incarnation, charges.number(position)));
  }

  void add(RequestId request, Writer origin, long number, long now) {
    charges.add(fingerprint(request), now, origin.number, number);
  }

  void dropUntil(long limit) {
    charges.dropUntil(limit);
  }

  private static long fingerprint(RequestId request) {
    return Hashing.komihash5_0().hashCharsToLong(request.value());
  }

  void write(StateWriter out) {
    charges.write(out);
  }

  static KeyedCharges read(StateReader in, WriterTable writers) {
    return new KeyedCharges(writers, RecentKeys.read(in));
  }
}
