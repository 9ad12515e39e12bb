package org.teaseldeal.ledger.state;

import java.time.Instant;
import org.teaseldeal.api.DataCentre;
import org.teaseldeal.api.IncarnationId;
import org.teaseldeal.api.InstanceId;

/**
 * An instance that has joined and has neither left nor been retired.
 *
 * @param foldedTo the last offset that the instance had folded when it wrote its last record
 * @param lastRecordAt the log time of the instance's last record
 */
public record InstanceView(
    IncarnationId incarnation,
    InstanceId instance,
    DataCentre dataCentre,
    String peerAddress,
    long foldedTo,
    Instant lastRecordAt) {}
