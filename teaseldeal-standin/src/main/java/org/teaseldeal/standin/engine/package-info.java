/** A simulated inference engine: batching, prefix cache, streams, orders. */
@NullMarked
package org.teaseldeal.standin.engine;

import org.jspecify.annotations.NullMarked;
