package org.teaseldeal.ledger.state;

import org.teaseldeal.api.IncarnationId;

/** The right of one incarnation to order a pool's engines. {@code term} is its fencing token. */
public record OrderTerm(String pool, long term, IncarnationId holder) {}
