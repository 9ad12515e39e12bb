/** Settings files: defaults, overrides from the command line, validation. */
@NullMarked
package org.teaseldeal.standin.settings;

import org.jspecify.annotations.NullMarked;
