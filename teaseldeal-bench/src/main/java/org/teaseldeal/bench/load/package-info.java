/**
 * Sends a scenario's requests when they are due, regardless of answers, and records the outcomes.
 */
@NullMarked
package org.teaseldeal.bench.load;

import org.jspecify.annotations.NullMarked;
