/** Fakes that are reached over HTTP: a platform, and the admin listener of an instance. */
@NullMarked
package org.teaseldeal.operator.fake;

import org.jspecify.annotations.NullMarked;
