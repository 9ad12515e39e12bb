/** Counters and histograms of what an instance decides and believes. */
@NullMarked
package org.teaseldeal.gateway.metrics;

import org.jspecify.annotations.NullMarked;
