/** Stops requests that end the backend servers that run them, on all instances. */
@NullMarked
package org.teaseldeal.gateway.quarantine;

import org.jspecify.annotations.NullMarked;
