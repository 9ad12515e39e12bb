/** Model types shared by all modules: identifiers, error kinds, results and argument checks. */
@NullMarked
package org.teaseldeal.api;

import org.jspecify.annotations.NullMarked;
