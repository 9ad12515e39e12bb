package org.teaseldeal.bench.fault;

import java.time.Duration;

/**
 * A fault that a fault plan injects.
 *
 * @param at the time of injection, counted from the start of the run
 * @param targetIndex the index, modulo the number of instances or backend servers, of the one that
 *     the fault affects
 */
record FaultStep(Duration at, FaultKind kind, Duration duration, int targetIndex) {}
