/** Logging as JSON lines, with a level that can be changed at run time. */
@NullMarked
package org.teaseldeal.cli.log;

import org.jspecify.annotations.NullMarked;
