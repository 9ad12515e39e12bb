/** Fakes of the components and services that a router communicates with, and test fixtures. */
@NullMarked
package org.teaseldeal.router.fake;

import org.jspecify.annotations.NullMarked;
