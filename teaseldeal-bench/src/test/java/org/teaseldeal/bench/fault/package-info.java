/** Tests of the promise checks and of simulated faults. */
@NullMarked
package org.teaseldeal.bench.fault;

import org.jspecify.annotations.NullMarked;
