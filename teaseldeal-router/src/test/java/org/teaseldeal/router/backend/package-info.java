/** Tests of the calls to backend servers. */
@NullMarked
package org.teaseldeal.router.backend;

import org.jspecify.annotations.NullMarked;
