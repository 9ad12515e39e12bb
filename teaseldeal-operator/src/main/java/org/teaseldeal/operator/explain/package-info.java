/** Explains from the logs of several instances why a request ended as it did. */
@NullMarked
package org.teaseldeal.operator.explain;

import org.jspecify.annotations.NullMarked;
