/** Tests of the scenario files. */
@NullMarked
package org.teaseldeal.bench.scenario;

import org.jspecify.annotations.NullMarked;
