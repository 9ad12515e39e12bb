/** The platform's log, instance list and weight store. */
@NullMarked
package org.teaseldeal.standin.platform;

import org.jspecify.annotations.NullMarked;
