/** Utilities that all stand-ins use: event loop, JSON answers, rate limits. */
@NullMarked
package org.teaseldeal.standin.runtime;

import org.jspecify.annotations.NullMarked;
