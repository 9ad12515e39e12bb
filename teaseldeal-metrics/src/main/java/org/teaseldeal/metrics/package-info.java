/** Text that shows a process's metrics to whoever collects them. */
@NullMarked
package org.teaseldeal.metrics;

import org.jspecify.annotations.NullMarked;
