/** Reading JSON within limits, and writing it. */
@NullMarked
package org.teaseldeal.router.json;

import org.jspecify.annotations.NullMarked;
