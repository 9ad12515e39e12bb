/** The router daemon: its command line, its process and the wiring of its components. */
@NullMarked
package org.teaseldeal.router;

import org.jspecify.annotations.NullMarked;
