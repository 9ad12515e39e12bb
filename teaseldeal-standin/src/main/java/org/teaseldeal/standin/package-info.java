/**
 * The command line and the processes of the stand-ins, which replace the platform and the backend
 * servers that instances depend on.
 */
@NullMarked
package org.teaseldeal.standin;

import org.jspecify.annotations.NullMarked;
