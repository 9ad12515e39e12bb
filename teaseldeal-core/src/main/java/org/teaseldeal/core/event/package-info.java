/** Inputs to an instance, as typed events that the network layer delivers. */
@NullMarked
package org.teaseldeal.core.event;

import org.jspecify.annotations.NullMarked;
