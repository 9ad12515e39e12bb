/** HTTP clients of the platform's log and instance list. */
@NullMarked
package org.teaseldeal.router.platform;

import org.jspecify.annotations.NullMarked;
