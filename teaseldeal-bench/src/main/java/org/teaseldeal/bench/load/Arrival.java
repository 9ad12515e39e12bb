package org.teaseldeal.bench.load;

import java.time.Duration;
import org.teaseldeal.bench.scenario.Flow;

/**
 * A request of a load.
 *
 * @param due the time at which the request is due, counted from the start of the load
 * @param flow the flow that the request belongs to
 * @param number the position of the request within its flow, from zero
 */
public record Arrival(Duration due, Flow flow, long number) {}
