/**
 * Replaceable policies on which the safety guarantees of an instance depend, one interface each.
 *
 * <p>Each interface has its production implementation as a constant. A test passes a weaker
 * implementation to the instance and expects the checks to report the resulting fault.
 */
@NullMarked
package org.teaseldeal.core.part;

import org.jspecify.annotations.NullMarked;
