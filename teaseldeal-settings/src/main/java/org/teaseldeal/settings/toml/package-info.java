/** Validating TOML reader that reports all problems of a text at once. */
@NullMarked
package org.teaseldeal.settings.toml;

import org.jspecify.annotations.NullMarked;
