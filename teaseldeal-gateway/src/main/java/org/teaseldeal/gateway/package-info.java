/** Passes callers' requests through to backend servers, by route and within prepaid totals. */
@NullMarked
package org.teaseldeal.gateway;

import org.jspecify.annotations.NullMarked;
