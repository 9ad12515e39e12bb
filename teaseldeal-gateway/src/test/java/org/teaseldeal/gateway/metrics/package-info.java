/** Tests of what an instance measures of itself. */
@NullMarked
package org.teaseldeal.gateway.metrics;

import org.jspecify.annotations.NullMarked;
