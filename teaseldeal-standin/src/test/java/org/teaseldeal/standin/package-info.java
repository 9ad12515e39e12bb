/** Tests of the stand-ins' command line. */
@NullMarked
package org.teaseldeal.standin;

import org.jspecify.annotations.NullMarked;
