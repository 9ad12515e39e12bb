/** Tests of the validating TOML reader. */
@NullMarked
package org.teaseldeal.settings.toml;

import org.jspecify.annotations.NullMarked;
