/** Tests of the JSON log lines. */
@NullMarked
package org.teaseldeal.cli.log;

import org.jspecify.annotations.NullMarked;
