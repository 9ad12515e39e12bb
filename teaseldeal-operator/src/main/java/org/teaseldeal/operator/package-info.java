/** The operator's command line: its entry point, its parser and its exit statuses. */
@NullMarked
package org.teaseldeal.operator;

import org.jspecify.annotations.NullMarked;
