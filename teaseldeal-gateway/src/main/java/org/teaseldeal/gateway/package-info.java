/**
 * Forwards requests of callers to backend servers by route, within the customers' prepaid totals.
 */
@NullMarked
package org.teaseldeal.gateway;

import org.jspecify.annotations.NullMarked;
