/** Tests of the settings tree's subtrees: defaults, cross-checks and messages. */
@NullMarked
package org.teaseldeal.settings;

import org.jspecify.annotations.NullMarked;
