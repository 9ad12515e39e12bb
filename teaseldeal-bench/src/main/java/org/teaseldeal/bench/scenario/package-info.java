/** Load scenarios in TOML: flows of requests, phases in which their rates change, and faults. */
@NullMarked
package org.teaseldeal.bench.scenario;

import org.jspecify.annotations.NullMarked;
