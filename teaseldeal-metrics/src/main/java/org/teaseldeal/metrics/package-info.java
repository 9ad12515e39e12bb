/** Export of a process's metrics in the Prometheus text format. */
@NullMarked
package org.teaseldeal.metrics;

import org.jspecify.annotations.NullMarked;
