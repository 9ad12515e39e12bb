/** Hand-written stand-ins for what the gateway works with. */
@NullMarked
package org.teaseldeal.gateway.fake;

import org.jspecify.annotations.NullMarked;
