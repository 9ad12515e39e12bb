/** Fakes for tests: a clock that the test advances, and an HTTP exchange without a network. */
@NullMarked
package org.teaseldeal.standin.runtime;

import org.jspecify.annotations.NullMarked;
