/** Requests that one instance hands over to another one, which then decides about them. */
@NullMarked
package org.teaseldeal.gateway.handover;

import org.jspecify.annotations.NullMarked;
