/** Tests of the knowledge at which software version streams began. */
@NullMarked
package org.teaseldeal.gateway.stream;

import org.jspecify.annotations.NullMarked;
