/** The decisions and state changes of an instance as typed events for the log and the metrics. */
@NullMarked
package org.teaseldeal.gateway.event;

import org.jspecify.annotations.NullMarked;
