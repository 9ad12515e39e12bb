/** The single-threaded event loop that runs the core of an instance. */
@NullMarked
package org.teaseldeal.router.instance;

import org.jspecify.annotations.NullMarked;
