/** The ways by which requests reach the backend servers. */
@NullMarked
package org.teaseldeal.gateway.path;

import org.jspecify.annotations.NullMarked;
