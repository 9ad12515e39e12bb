package org.teaseldeal.ledger.fold;

import com.dynatrace.hash4j.hashing.Hashing;
import java.time.Instant;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Optional;
import org.teaseldeal.api.CustomerId;
import org.teaseldeal.api.IncarnationId;
import org.teaseldeal.api.ServiceId;
import org.teaseldeal.ledger.ClaimKey;
import org.teaseldeal.ledger.entry.Entry;
import org.teaseldeal.ledger.outcome.Outcome;
import org.teaseldeal.ledger.state.ClaimView;

/**
 * Holds the claims of non-idempotent requests: in full during the claim window, and as key
 * fingerprints after it.
 *
 * <p>The window of a claim starts anew when its answer is stored, so that the answer of a long
 * request is kept as long as that of a short one. The claims are ordered by the end of their
 * windows.
 */
final class ClaimTable {
  private static final int NO_ORIGIN = 0;

  private final LinkedHashMap<ClaimKey, ClaimView> claims = new LinkedHashMap<>();
  private RecentKeys expired = new RecentKeys();

  Outcome claim(Entry.Claim entry, IncarnationId writer, long now) {
    if (expired(entry.key())) {
      return new Outcome.ClaimExpired(entry.key());
    }
    ClaimView existing = claims.get(entry.key());
    if (existing != null) {
      boolean sameBody = existing.bodyDigest().equals(entry.bodyDigest());
      return new Outcome.ClaimLost(entry.key(), existing.holder(), sameBody, existing.answer());
    }
    put(
        new ClaimView(
            entry.key(),
            writer,
            entry.service(),
            entry.customer(),
            entry.bodyDigest(),
            Instant.ofEpochMilli(now),
            Optional.empty()));
    return new Outcome.ClaimWon(entry.key());
  }

  Outcome answer(Entry.ClaimOutcome entry, IncarnationId writer, long now) {
    ClaimView claim = claims.get(entry.key());
    if (claim == null || !claim.holder().equals(writer)) {
      return new Outcome.Rejected(entry, "the writer does not hold the claim");
    }
    if (claim.answer().isPresent()) {
      return new Outcome.Rejected(entry, "the claim already has an answer");
    }
    claims.remove(entry.key());
    put(
        new ClaimView(
            claim.key(),
            claim.holder(),
            claim.service(),
            claim.customer(),
            claim.bodyDigest(),
            Instant.ofEpochMilli(now),
            Optional.of(toStoredAnswer(entry))));
    return new Outcome.ClaimAnswered(entry.key());
  }

  private static Entry.ClaimOutcome toStoredAnswer(Entry.ClaimOutcome entry) {
    return entry.bodyKept()
        ? entry
        : new Entry.ClaimOutcome(
            entry.key(), entry.status(), entry.contentType(), new byte[0], false);
  }

  Outcome release(Entry.ReleaseClaim entry, IncarnationId writer) {
    ClaimView claim = claims.get(entry.key());
    if (claim == null || !claim.holder().equals(writer)) {
      return new Outcome.Rejected(entry, "the writer does not hold the claim");
    }
    if (claim.answer().isPresent()) {
      return new Outcome.Rejected(entry, "the claim has an answer, so the request ran");
    }
    claims.remove(entry.key());
    return new Outcome.ClaimReleased(entry.key());
  }

  Optional<ClaimView> find(ClaimKey key) {
    return Optional.ofNullable(claims.get(key));
  }

  boolean expired(ClaimKey key) {
    return expired.find(fingerprint(key)) != RecentKeys.NONE;
  }

  /**
   * Replaces claims whose window has ended by fingerprints, and drops the fingerprints that are too
   * old.
   */
  void expire(long windowLimit, long retentionLimit) {
    Iterator<ClaimView> oldest = claims.values().iterator();
    while (oldest.hasNext()) {
      ClaimView claim = oldest.next();
      if (claim.since().toEpochMilli() > windowLimit) {
        break;
      }
      oldest.remove();
      addFingerprint(claim);
    }
    expired.dropUntil(retentionLimit);
  }

  private void addFingerprint(ClaimView claim) {
    long fingerprint = fingerprint(claim.key());
    if (expired.find(fingerprint) == RecentKeys.NONE) {
      expired.add(fingerprint, claim.since().toEpochMilli(), NO_ORIGIN, 0);
    }
  }

  private void put(ClaimView claim) {
    claims.put(claim.key(), claim);
  }

  private static long fingerprint(ClaimKey key) {
    return Hashing.komihash5_0().hashCharsToLong(key.digest());
  }

  void write(StateWriter out) {
    out.number(claims.size());
    claims.values().forEach(claim -> write(out, claim));
    expired.write(out);
  }

  private static void write(StateWriter out, ClaimView claim) {
    out.text(claim.key().digest()).text(claim.holder().value());
    out.text(claim.service().toString()).text(claim.customer().toString());
    out.text(claim.bodyDigest()).number(claim.since().toEpochMilli());
    out.flag(claim.answer().isPresent());
    claim
        .answer()
        .ifPresent(
            answer ->
                out.number(answer.status())
                    .text(answer.contentType())
                    .flag(answer.bodyKept())
                    .bytes(answer.body()));
  }

  static ClaimTable read(StateReader in) {
    ClaimTable table = new ClaimTable();
    int count = in.count();
    for (int i = 0; i < count; i++) {
      table.put(readClaim(in));
    }
    table.expired = RecentKeys.read(in);
    return table;
  }

  private static ClaimView readClaim(StateReader in) {
    ClaimKey key = new ClaimKey(in.text());
    IncarnationId holder = new IncarnationId(in.text());
    ServiceId service = ServiceId.parse(in.text());
    CustomerId customer = CustomerId.parse(in.text());
    String bodyDigest = in.text();
    Instant since = Instant.ofEpochMilli(in.number());
    Optional<Entry.ClaimOutcome> answer =
        in.flag() ? Optional.of(readAnswer(key, in)) : Optional.empty();
    return new ClaimView(key, holder, service, customer, bodyDigest, since, answer);
  }

  private static Entry.ClaimOutcome readAnswer(ClaimKey key, StateReader in) {
    int status = (int) in.number();
    String contentType = in.text();
    boolean bodyKept = in.flag();
    return new Entry.ClaimOutcome(key, status, contentType, in.bytes(), bodyKept);
  }
}
