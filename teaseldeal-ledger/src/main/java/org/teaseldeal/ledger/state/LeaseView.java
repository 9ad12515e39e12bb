package org.teaseldeal.ledger.state;

import org.teaseldeal.api.IncarnationId;
import org.teaseldeal.api.ServiceId;

/**
 * The tokens left under one lease.
 *
 * @param retired whether the source has left or been retired. The tokens are then written off, but
 *     charges and returns that name the source can still draw on them
 */
public record LeaseView(ServiceId service, IncarnationId source, long tokens, boolean retired) {}
