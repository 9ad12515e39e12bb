/**
 * Load management policies: admission, queueing, load shedding, retries and placement of requests.
 *
 * <p>A pool is a group of interchangeable backend servers, such as the servers of one service.
 *
 * <p>The classes are independent of the network and testable without it; time and randomness are
 * passed as arguments.
 */
@NullMarked
package org.teaseldeal.decisions;

import org.jspecify.annotations.NullMarked;
