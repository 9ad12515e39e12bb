/**
 * Measures the latency that a router adds to a call and its processor time per request and token.
 */
@NullMarked
package org.teaseldeal.bench.cost;

import org.jspecify.annotations.NullMarked;
