/** Tests of the parsing of callers' requests. */
@NullMarked
package org.teaseldeal.router.caller;

import org.jspecify.annotations.NullMarked;
