/** The backend servers as listed, their load from this instance and their presumed caches. */
@NullMarked
package org.teaseldeal.gateway.server;

import org.jspecify.annotations.NullMarked;
