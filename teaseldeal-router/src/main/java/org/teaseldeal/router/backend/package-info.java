/** Calls to backend servers: attempts at running requests, orders to engines, load polling. */
@NullMarked
package org.teaseldeal.router.backend;

import org.jspecify.annotations.NullMarked;
