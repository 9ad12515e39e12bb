/** Hand-written test doubles for the gateway's dependencies. */
@NullMarked
package org.teaseldeal.gateway.fake;

import org.jspecify.annotations.NullMarked;
