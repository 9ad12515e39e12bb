/** Tests of the platform's log and instance list. */
@NullMarked
package org.teaseldeal.standin.platform;

import org.jspecify.annotations.NullMarked;
