package org.teaseldeal.core.table;

import java.util.List;
import org.teaseldeal.api.ServiceId;
import org.teaseldeal.ledger.Draw;

/** Tokens that were debited here for a peer which has not yet acknowledged the reply. */
public record UnacknowledgedTransferRow(ServiceId service, List<Draw> parcels) {
  public UnacknowledgedTransferRow {
    parcels = List.copyOf(parcels);
  }
}
