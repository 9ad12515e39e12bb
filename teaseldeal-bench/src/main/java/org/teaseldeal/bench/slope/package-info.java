/** Measures how an instance's cost grows with the size of its state and with its load. */
@NullMarked
package org.teaseldeal.bench.slope;

import org.jspecify.annotations.NullMarked;
