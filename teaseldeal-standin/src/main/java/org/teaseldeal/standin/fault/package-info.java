/** The fault settings in force and the random decisions whether to inject a fault. */
@NullMarked
package org.teaseldeal.standin.fault;

import org.jspecify.annotations.NullMarked;
