/** Command-line parsing, help texts and exit statuses, shared by all programs. */
@NullMarked
package org.teaseldeal.cli;

import org.jspecify.annotations.NullMarked;
