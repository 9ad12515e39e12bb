/** Counters, gauges and histograms of an instance. */
@NullMarked
package org.teaseldeal.gateway.metrics;

import org.jspecify.annotations.NullMarked;
