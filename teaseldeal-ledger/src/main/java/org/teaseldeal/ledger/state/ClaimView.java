package org.teaseldeal.ledger.state;

import java.time.Instant;
import java.util.Optional;
import org.teaseldeal.api.CustomerId;
import org.teaseldeal.api.IncarnationId;
import org.teaseldeal.api.ServiceId;
import org.teaseldeal.ledger.ClaimKey;
import org.teaseldeal.ledger.entry.Entry;

/** A claim within its window: its holder and, once stored, the answer of its request. */
public record ClaimView(
    ClaimKey key,
    IncarnationId holder,
    ServiceId service,
    CustomerId customer,
    String bodyDigest,
    Instant since,
    Optional<Entry.ClaimOutcome> answer) {}
