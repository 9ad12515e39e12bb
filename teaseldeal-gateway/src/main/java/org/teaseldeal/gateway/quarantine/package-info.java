/** Quarantines requests that crash backend servers, across all instances. */
@NullMarked
package org.teaseldeal.gateway.quarantine;

import org.jspecify.annotations.NullMarked;
