/** Which software version of the backend servers began a stream, known to several instances. */
@NullMarked
package org.teaseldeal.gateway.stream;

import org.jspecify.annotations.NullMarked;
